package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// soakTime is how long faults come in a short soak, quietTime how long none come afterwards.
	soakTime  = 6 * time.Second
	quietTime = 5 * time.Second
	// lateAnswer bounds an answer beyond the request's own time, where no process was stopped.
	lateAnswer = 500 * time.Millisecond
	// servedAtLeast is the part of the requests that are served once faults have ended, in percent.
	servedAtLeast = 90
)

// soakFault begins one fault and returns what ends it, or nil.
type soakFault struct {
	name  string
	begin func(w *soakWorld, random *rand.Rand) func()
}

func (w *soakWorld) anyDaemon(random *rand.Rand) *soakDaemon {
	return w.daemons[random.IntN(len(w.daemons))]
}

func (w *soakWorld) anyEngine(random *rand.Rand) string {
	return w.engines[random.IntN(len(w.engines))]
}

// linkFault makes one link fail as told.
func linkFault(faults linkFaults) func(*soakWorld, *rand.Rand) func() {
	return func(w *soakWorld, random *rand.Rand) func() {
		front := w.links[random.IntN(len(w.links))]
		w.link(front, faults)
		return func() { w.link(front, linkFaults{}) }
	}
}

// storeFault makes the store fail as told.
func storeFault(faults map[string]any) func(*soakWorld, *rand.Rand) func() {
	return func(w *soakWorld, _ *rand.Rand) func() {
		tell(w.control, "/store", faults)
		return func() { tell(w.control, "/store", map[string]any{}) }
	}
}

// engineFault makes one endpoint fail as told.
func engineFault(faults map[string]any) func(*soakWorld, *rand.Rand) func() {
	return func(w *soakWorld, random *rand.Rand) func() {
		id := w.anyEngine(random)
		tell(w.control, "/engines/"+id+"/faults", faults)
		return func() { tell(w.control, "/engines/"+id+"/faults", map[string]any{}) }
	}
}

var soakFaults = []soakFault{
	{"delay a link", linkFault(linkFaults{DelayMillis: 30})},
	{"cut a link", linkFault(linkFaults{Cut: true})},
	{"swallow all on a link", linkFault(linkFaults{Blackhole: true})},
	{"cut answers on a link", linkFault(linkFaults{CutAnswerAfter: 300})},
	{"silence a link's connections", func(w *soakWorld, random *rand.Rand) func() {
		tell(w.proxy, "/silence/"+w.links[random.IntN(len(w.links))], nil)
		return nil
	}},
	{"refuse at the store", storeFault(map[string]any{"refuse": true})},
	{"be silent at the store", storeFault(map[string]any{"silent": true})},
	{"be slow at the store", storeFault(map[string]any{"delayMillis": 200})},
	{"lose the store's answers", storeFault(map[string]any{"loseAnswers": true})},
	{"forget the store's history", func(w *soakWorld, _ *rand.Rand) func() {
		tell(w.control, "/compact", nil)
		return nil
	}},
	{"change the configuration", func(w *soakWorld, _ *rand.Rand) func() {
		tell(w.control, "/configuration", jsonText(configuration(w.version.Add(3))))
		return nil
	}},
	{"crash an endpoint", func(w *soakWorld, random *rand.Rand) func() {
		tell(w.control, "/engines/"+w.anyEngine(random)+"/crash", nil)
		return nil
	}},
	{"silence an endpoint", engineFault(map[string]any{"silent": true})},
	{"slow an endpoint", engineFault(map[string]any{"slow": 6})},
	{"cut an endpoint's answers", engineFault(map[string]any{"cutEvery": 3})},
	{"kill a daemon", restartBy(syscall.SIGKILL)},
	{"stop a daemon", restartBy(syscall.SIGTERM)},
	{"reload a daemon", func(w *soakWorld, random *rand.Rand) func() {
		w.anyDaemon(random).signal(syscall.SIGHUP)
		return nil
	}},
	{"freeze a daemon", func(w *soakWorld, random *rand.Rand) func() {
		d := w.anyDaemon(random).process
		d.pause()
		return d.resume
	}},
}

// jsonText is a text that is JSON already.
type jsonText string

// MarshalJSON returns the text.
func (t jsonText) MarshalJSON() ([]byte, error) { return []byte(t), nil }

// restartBy ends one daemon by a signal and starts it again.
func restartBy(by syscall.Signal) func(*soakWorld, *rand.Rand) func() {
	return func(w *soakWorld, random *rand.Rand) func() {
		d := w.anyDaemon(random)
		d.resume()
		d.restart(by)
		return nil
	}
}

// soak sends requests while faults come in series and overlap, and judges what callers and endpoints
// saw. Daemons are restarted by this goroutine alone.
func soak(t *testing.T, seed uint64, daemons, engines, callerCount int, lasts time.Duration) {
	t.Helper()
	w := newSoakWorld(t, daemons, engines)
	random := rand.New(rand.NewPCG(seed, seed))
	time.Sleep(3 * time.Second) // Engines are placed.
	cs := startCallers(w, callerCount, seed)
	var story []string
	var ending sync.WaitGroup
	began := time.Now()
	for time.Since(began) < lasts {
		fault := soakFaults[random.IntN(len(soakFaults))]
		story = append(story, fmt.Sprintf("%.1f s %s", time.Since(began).Seconds(), fault.name))
		if end := fault.begin(w, random); end != nil {
			length := time.Duration(300+random.IntN(1500)) * time.Millisecond
			ending.Go(func() {
				time.Sleep(length)
				end()
			})
		}
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
	ending.Wait()
	healed := time.Now()
	time.Sleep(quietTime)
	results := cs.stop()
	judge(t, w, results, healed)
	if t.Failed() {
		t.Logf("seed %d:\n%s\nlogs: %s", seed, strings.Join(story, "\n"), w.keepLogs(t))
	}
}

// keepLogs writes the daemons' logs to a folder that outlives the test.
func (w *soakWorld) keepLogs(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "chicoryhall-soak-")
	if err != nil {
		return err.Error()
	}
	for _, d := range w.daemons {
		if err := os.WriteFile(filepath.Join(folder, d.name+".log"), []byte(d.output.String()), 0o600); err != nil {
			return err.Error()
		}
	}
	return folder
}

// judge holds what callers saw against what endpoints ran.
func judge(t *testing.T, w *soakWorld, results []soakResult, healed time.Time) {
	t.Helper()
	runs := make(map[string][]soakRun)
	for _, run := range w.runs(t) {
		runs[run.Request] = append(runs[run.Request], run)
		if run.Wrong != "" {
			t.Errorf("endpoint %s got request %q: %s", run.Engine, run.Request, run.Wrong)
		}
	}
	counts := make(map[string]int)
	asked, served := 0, 0
	for i := range results {
		r := &results[i]
		counts[fmt.Sprintf("%s %d", r.kind.name, r.status)]++
		judgeOne(t, r, runs[r.id])
		delete(runs, r.id)
		if r.sentAt.After(healed.Add(quietTime / 2)) {
			asked++
			if r.status == http.StatusOK && r.err == nil {
				served++
			}
		}
	}
	for id := range runs {
		if id != "" {
			t.Errorf("endpoints ran request %q, which no caller sent", id)
		}
	}
	t.Logf("%d requests: %v; after the faults %d of %d served", len(results), counts, served, asked)
	if served*100 < asked*servedAtLeast {
		t.Errorf("after the faults %d of %d requests were served", served, asked)
	}
}

// judgeOne checks the promises on one request.
func judgeOne(t *testing.T, r *soakResult, runs []soakRun) {
	t.Helper()
	most := 2
	if r.kind.name == "unsafe" {
		most = 1
	}
	if len(runs) > most {
		t.Errorf("%s request %s ran %d times: %v", r.kind.name, r.id, len(runs), runs)
	}
	switch r.status {
	case http.StatusOK:
		if r.err == nil && r.body != r.wanted() {
			t.Errorf("%s request %s: the answer looks whole and is %q instead of %q", r.kind.name, r.id, r.body, r.wanted())
		}
		if !strings.HasPrefix(r.wanted(), r.body) {
			t.Errorf("%s request %s: %q is no part of its answer", r.kind.name, r.id, r.body)
		}
	case http.StatusServiceUnavailable:
		if len(runs) > 0 {
			t.Errorf("%s request %s was told that it has not run, and ran: %v", r.kind.name, r.id, runs)
		}
		if !r.hasTime {
			t.Errorf("%s request %s was refused without a time to come back", r.kind.name, r.id)
		}
	case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		t.Errorf("%s request %s was answered with status %d: %s", r.kind.name, r.id, r.status, r.body)
	}
}

// TestSoak plays one short seed, or those that the environment names: SOAK_SEED is the first, SOAK_RUNS
// their number, SOAK_SECONDS how long faults come in each, SOAK_DAEMONS the daemons of a failure domain.
func TestSoak(t *testing.T) {
	first, count := envNumber("SOAK_SEED", 1), envNumber("SOAK_RUNS", 1)
	lasts := soakTime
	if seconds := envNumber("SOAK_SECONDS", 0); seconds > 0 {
		lasts = time.Duration(seconds) * time.Second
	}
	daemons := envNumber("SOAK_DAEMONS", 2)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			soak(t, uint64(seed), daemons, 5, 6*daemons, lasts)
		})
	}
}

// soakRegressions are the seeds that once failed, each with its cause.
var soakRegressions = []struct {
	seed  uint64
	cause string
}{
	{7, "a store's feed that was silent behind a proxy kept a daemon's list of engines old for 9 s"},
}

func TestSoakRegressions(t *testing.T) {
	for _, c := range soakRegressions {
		t.Run(fmt.Sprintf("seed %d: %s", c.seed, c.cause), func(t *testing.T) { soak(t, c.seed, 2, 5, 12, soakTime) })
	}
}

func envNumber(name string, otherwise int) int {
	number, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return number
}
