package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const (
	// pauseAskedFor is the pause without requests that endpoints ask for.
	pauseAskedFor = 4 * time.Second
	// toldWithin is the time in which a daemon must heed an endpoint's answer. maxWithinPause requests may still come in the
	// rest of the pause.
	toldWithin     = 500 * time.Millisecond
	maxWithinPause = 2
	// leavingHeeded is the time after an endpoint's first answer that says that it leaves in which requests may still come
	// from the daemon that got it, the time of the longest request included.
	leavingHeeded = 4 * time.Second
)

// statement is what an endpoint has said of itself in an answer, as recorded by the simulated platform.
type statement struct {
	Engine      string `json:"engine"`
	Address     string `json:"address"`
	Born        int64  `json:"born"`
	From        string `json:"from"`
	Leaving     bool   `json:"leaving"`
	AtMillis    int64  `json:"atMillis"`
	UntilMillis int64  `json:"untilMillis"`
}

// statementLayout has endpoints that ask for pauses, and daemons that can be told apart.
func statementLayout(pausePercent int) soakLayout {
	layout := twoDomains(2, 6, 4)
	layout.ownSources = true
	pauses := map[string]any{"pausePercent": pausePercent, "pauseMillis": pauseAskedFor.Milliseconds()}
	layout.plainSettings, layout.engineSettings = pauses, pauses
	return layout
}

// checkStatements checks that each daemon heeds what endpoints say of themselves: few requests come in a pause that the endpoint
// has asked for, also if it has started again since, and none once its process has said that it leaves.
func checkStatements(t *testing.T, w *soakPlatform) {
	t.Helper()
	names := make(map[string]string)
	for _, d := range w.daemons {
		names[d.source] = d.name
	}
	arrivals := controlList[requestArrival](t, w, "/requests")
	count := func(isLate func(a requestArrival) bool) (late []string) {
		for _, a := range arrivals {
			if isLate(a) {
				late = append(late, time.UnixMilli(a.AtMillis).UTC().Format("15:04:05.000"))
			}
		}
		return late
	}
	pauses, departures, within, most := 0, 0, 0, 0
	told := make(map[string]bool)
	for _, s := range controlList[statement](t, w, "/statements") {
		at := time.UnixMilli(s.AtMillis)
		switch first := fmt.Sprintf("%s %d %s", s.Engine, s.Born, s.From); {
		case s.Leaving && !told[first]:
			told[first] = true
			departures++
			late := count(func(a requestArrival) bool {
				return a.Engine == s.Engine && a.Born == s.Born && a.From == s.From && a.AtMillis > at.Add(leavingHeeded).UnixMilli()
			})
			if len(late) > 0 {
				t.Errorf("%s told %s at %s that it leaves, and got requests at %v", s.Engine, names[s.From], at.UTC().Format("15:04:05.000"), late)
			}
		case !s.Leaving:
			pauses++
			late := count(func(a requestArrival) bool {
				return a.Address == s.Address && a.From == s.From && a.AtMillis > at.Add(toldWithin).UnixMilli() && a.AtMillis < s.UntilMillis
			})
			within += len(late)
			most = max(most, len(late))
			if len(late) > maxWithinPause {
				t.Errorf("%s asked %s at %s for %s without requests, and got %d: %v", s.Engine, names[s.From], at.UTC().Format("15:04:05.000"),
					time.Duration(s.UntilMillis-s.AtMillis)*time.Millisecond, len(late), late)
			}
		}
	}
	t.Logf("%d pauses asked for, %d requests within them, at most %d in one; %d daemons told of departures", pauses, within, most, departures)
	if pauses == 0 {
		t.Error("no endpoint asked for a pause")
	}
}

// witnessFaults make the list and the store contradict, or keep back, what endpoints say in answers.
var witnessFaults = []soakFault{
	{"crash an endpoint", func(w *soakPlatform, random *rand.Rand) func() {
		postControl(w.control, "/engines/"+w.randomEndpoint(random)+"/crash", nil)
		return nil
	}},
	{"make the store silent", storeFault(map[string]any{"silent": true})},
	{"make the store slow", storeFault(map[string]any{"delayMillis": 200})},
	{"restore the store from a copy", func(w *soakPlatform, _ *rand.Rand) func() {
		postControl(w.control, "/copy", nil)
		return func() { postControl(w.control, "/restore", nil) }
	}},
	{"remove entries for a moment", func(w *soakPlatform, random *rand.Rand) func() {
		for range 4 {
			postControl(w.control, "/engines/"+w.randomEndpoint(random)+"/vanish", map[string]int{"millis": 100 + random.IntN(900)})
		}
		return nil
	}},
	{"let an endpoint say that it leaves", func(w *soakPlatform, random *rand.Rand) func() {
		postControl(w.control, "/engines/"+w.randomEndpoint(random)+"/depart", nil)
		return nil
	}},
	{"delay a link", linkFault(linkFaults{DelayMillis: 30})},
}

// soakWithStatements sends requests, also ones that crash endpoints, to endpoints that ask for pauses and leave, while the store
// and the list say otherwise.
func soakWithStatements(t *testing.T, seed uint64, daemons int, duration time.Duration) {
	t.Helper()
	layout := statementLayout(2)
	layout.daemons = daemons
	w := newSoakPlatform(t, layout)
	time.Sleep(3 * time.Second) // Until the engines have loaded their layers.
	innocent := startCallers(w, 5*daemons, seed, ownBody)
	crashing := startCrashing(w, []crashingRequest{{streamKind, "crash-first a"}, {safeKind, "crash-first b"}}, 2)
	history := injectFaultsOf(w, witnessFaults, seed, duration)
	ended := time.Now()
	time.Sleep(pauseAskedFor)
	results := append(crashing.stop(), innocent.stop()...)
	checkResults(t, w, results, ended.Add(time.Hour)) // Endpoints at pause serve less; what is served is not judged here.
	checkStatements(t, w)
	if t.Failed() {
		t.Logf("seed %d:\n%s\nlogs: %s", seed, strings.Join(history, "\n"), w.keepLogs(t))
	}
}

func TestSoakWithStatements(t *testing.T) { forEachSeed(t, soakWithStatements) }

// TestPausesAreKept plays one thing at a time that may make a daemon forget a pause.
func TestPausesAreKept(t *testing.T) {
	cases := []struct {
		name   string
		newID  bool
		faults []int // indices of witnessFaults
	}{
		{"nothing else", false, nil},
		{"endpoints start again", false, []int{0}},
		{"endpoints start again under other IDs", true, []int{0}},
		{"entries vanish for a moment", false, []int{4}},
		{"the store is restored from a copy", false, []int{3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			layout := statementLayout(10)
			layout.engines = 0
			layout.plainSettings["restartMillis"], layout.plainSettings["newId"] = 500, c.newID
			w := newSoakPlatform(t, layout)
			cs := startCallersOf(w, 12, safeKind)
			random := rand.New(rand.NewPCG(1, 1))
			for begun := time.Now(); time.Since(begun) < 12*time.Second; time.Sleep(300 * time.Millisecond) {
				for _, index := range c.faults {
					if end := witnessFaults[index].begin(w, random); end != nil {
						time.Sleep(time.Second)
						end()
						time.Sleep(2 * time.Second)
					}
				}
			}
			cs.stop()
			checkStatements(t, w)
			if t.Failed() {
				t.Log(fmt.Sprintf("logs: %s", w.keepLogs(t)))
			}
		})
	}
}
