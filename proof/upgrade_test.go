package proof

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// replacePause is the time from when a replaced daemon is ready to the replacement of the next one.
	replacePause = time.Second
	// upgradeCutTime is how long a daemon is cut off from all endpoints while others still run the older build.
	upgradeCutTime = 5 * time.Second
)

// olderProgram returns the daemon's program from the commit that the environment variable UPGRADE_FROM names, or the present one
// if there is none.
func olderProgram(t *testing.T) string {
	t.Helper()
	commit := os.Getenv("UPGRADE_FROM")
	if commit == "" {
		return program(t, "chicoryhall")
	}
	folder := t.TempDir()
	archive := exec.Command("bash", "-c", "git archive \"$0\" | tar -x -C \"$1\"", commit, folder)
	archive.Dir = ".."
	out, err := archive.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	path := filepath.Join(folder, "older-chicoryhall")
	build := exec.Command("go", "build", "-o", path, "./cmd/chicoryhall")
	build.Dir = folder
	out, err = build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return path
}

// replace ends a daemon that runs an older build and starts the present one in its place.
func (d *soakDaemon) replace() {
	d.program = ""
	d.restart(syscall.SIGTERM)
	eventually(d.t, d.name+" is ready", startTimeout, func() bool { return answers(d.ready, "/-/ready") })
}

// TestUpgradeLosesNoRequest replaces the daemons of an older build one after the other while callers use open connections.
func TestUpgradeLosesNoRequest(t *testing.T) {
	older := olderProgram(t)
	cases := []struct {
		name string
		// during is called when half of the daemons are replaced.
		during func(w *soakPlatform)
		// mayLose is set if during breaks connections.
		mayLose bool
	}{
		{"nothing else", func(*soakPlatform) {}, false},
		{"configuration changes", func(w *soakPlatform) {
			for range 5 {
				postControl(w.control, "/configuration", jsonText(configuration(w.version.Add(3))))
				time.Sleep(replacePause / 2)
			}
		}, false},
		{"a replaced daemon is cut off from all endpoints", func(w *soakPlatform) {
			cutOff := w.daemons[:1]
			w.cutOff(cutOff, endpointCut{Silent: true})
			time.Sleep(upgradeCutTime)
			w.cutOff(cutOff, endpointCut{Ended: true})
			time.Sleep(healTime)
		}, true},
		{"an endpoint crashes", func(w *soakPlatform) {
			postControl(w.control, "/engines/"+w.engines[0]+"/crash", nil)
			time.Sleep(replacePause)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			layout := twoDomains(3, 6, 2)
			layout.ownSources, layout.program = true, older
			w := newSoakPlatform(t, layout)
			time.Sleep(4 * time.Second) // Until the engines have loaded their layers, and the daemons know each other.
			cs := startCallers(w, 18, 1, ownBody)
			for i, d := range w.daemons {
				time.Sleep(replacePause)
				if i == len(w.daemons)/2 {
					c.during(w)
				}
				d.replace()
			}
			replaced := time.Now()
			time.Sleep(quietTime)
			results := cs.stop()
			lost := lostRequests(t, w, results)
			checkResults(t, w, results, replaced)
			if !c.mayLose && len(lost) > 0 {
				t.Errorf("%d requests ran and were not answered: %+v", len(lost), lost)
			}
			t.Logf("%d requests ran and were not answered", len(lost))
			if t.Failed() {
				t.Logf("logs: %s", w.keepLogs(t))
			}
		})
	}
}

// lostRequests returns the requests that endpoints ran and that got no complete answer.
func lostRequests(t *testing.T, w *soakPlatform, results []soakResult) []soakResult {
	t.Helper()
	ran := make(map[string]bool)
	for _, run := range w.runs(t) {
		ran[run.Request] = true
	}
	var lost []soakResult
	for _, r := range results {
		if ran[r.id] && (r.err != nil || r.status != http.StatusOK) {
			lost = append(lost, r)
		}
	}
	return lost
}
