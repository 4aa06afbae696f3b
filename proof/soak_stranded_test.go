package proof

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// cutGrace is the time after the begin of a cut from which on callers of the daemons that are cut off must be served at
	// least minCutShare as often as the others.
	cutGrace    = 3 * time.Second
	minCutShare = 2.0 / 3
	// cutTime is how long daemons are cut off from all endpoints.
	cutTime = 9 * time.Second
	// healTime is the time after the end of a cut in which the daemons return to the endpoints.
	healTime = 4 * time.Second
)

// endpointCut is a cut of a daemon from all endpoints, as the stand-in takes it.
type endpointCut struct {
	From     string `json:"from"`
	Silent   bool   `json:"silent"`
	KeepOpen bool   `json:"keepOpen"`
	Ended    bool   `json:"ended"`
}

// cutOff begins or ends a cut for each of the daemons.
func (w *soakPlatform) cutOff(daemons []*soakDaemon, cut endpointCut) {
	for _, d := range daemons {
		cut.From = d.source
		postControl(w.control, "/cut", cut)
	}
}

// servedAt returns the part of the requests that were sent between two times to daemons that match and were served, and their
// number.
func servedAt(results []soakResult, from, to time.Time, matches func(daemon string) bool) (share float64, sent int) {
	served := 0
	for i := range results {
		r := &results[i]
		if !matches(r.daemon) || r.sentAt.Before(from) || r.sentAt.After(to) || crashesEndpoints(r) {
			continue
		}
		sent++
		if r.status == http.StatusOK && r.err == nil {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}

// TestDaemonsCutOffFromAllEndpointsServeTheirCallers cuts daemons off from all endpoints, while callers, the store and the
// other daemons reach them.
func TestDaemonsCutOffFromAllEndpointsServeTheirCallers(t *testing.T) {
	cases := []struct {
		name string
		cut  endpointCut
		// count is the number of daemons, of six, that are cut off: the first ones, domain by domain.
		count int
		// during is called after the cut has begun, if it is not nil.
		during func(w *soakPlatform)
	}{
		{"one, silent", endpointCut{Silent: true}, 1, nil},
		{"a domain, silent", endpointCut{Silent: true}, 3, nil},
		{"most, reset", endpointCut{}, 5, nil},
		{"a domain, refused beside open connections", endpointCut{KeepOpen: true}, 3, nil},
		{"a domain, reset, a receiver restarts", endpointCut{}, 3, func(w *soakPlatform) {
			w.daemons[4].restart(syscall.SIGTERM)
		}},
		{"a domain, reset, an endpoint crashes", endpointCut{}, 3, func(w *soakPlatform) {
			postControl(w.control, "/engines/"+w.engines[0]+"/crash", nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			layout := twoDomains(3, 6, 2)
			layout.ownSources = true
			w := newSoakPlatform(t, layout)
			time.Sleep(4 * time.Second) // Until the engines have loaded their layers, and the daemons know each other.
			cs := startCallers(w, 18, 1, ownBody)
			time.Sleep(2 * time.Second)
			began := time.Now()
			w.cutOff(w.daemons[:c.count], c.cut)
			if c.during != nil {
				time.Sleep(time.Second)
				c.during(w)
			}
			time.Sleep(time.Until(began.Add(cutTime)))
			ended := time.Now()
			w.cutOff(w.daemons[:c.count], endpointCut{Ended: true})
			time.Sleep(healTime + quietTime)
			results := cs.stop()
			checkResults(t, w, results, ended.Add(healTime-quietTime/2))
			isCut := func(daemon string) bool {
				for _, d := range w.daemons[:c.count] {
					if d.name == daemon {
						return true
					}
				}
				return false
			}
			atCut, sent := servedAt(results, began.Add(cutGrace), ended.Add(-time.Second), isCut)
			atOthers, sentOthers := servedAt(results, began.Add(cutGrace), ended.Add(-time.Second), func(d string) bool { return !isCut(d) })
			t.Logf("served at the daemons cut off %.2f of %d, at the others %.2f of %d", atCut, sent, atOthers, sentOthers)
			if sent == 0 || atCut < minCutShare*atOthers {
				t.Errorf("the daemons cut off served %.2f of %d; at least two thirds of %.2f are wanted", atCut, sent, atOthers)
			}
			if t.Failed() {
				t.Logf("logs: %s", w.keepLogs(t))
			}
		})
	}
}

// cutFaults are faults of soakWithCuts beside soakFaults: daemons are cut off from all endpoints.
var cutFaults = []soakFault{
	{"cut a daemon off from all endpoints, silently", cutFault(endpointCut{Silent: true})},
	{"reset a daemon's connections to all endpoints", cutFault(endpointCut{})},
	{"refuse a daemon's new connections to all endpoints", cutFault(endpointCut{KeepOpen: true})},
}

// cutFault returns a fault that cuts a random daemon off from all endpoints.
func cutFault(cut endpointCut) func(*soakPlatform, *rand.Rand) func() {
	return func(w *soakPlatform, random *rand.Rand) func() {
		cutOff := []*soakDaemon{w.randomDaemon(random)}
		w.cutOff(cutOff, cut)
		return func() { w.cutOff(cutOff, endpointCut{Ended: true}) }
	}
}

// soakWithCuts is soak with cutFaults as well.
func soakWithCuts(t *testing.T, seed uint64, daemons int, duration time.Duration) {
	t.Helper()
	layout := twoDomains(daemons, 5, 2)
	layout.ownSources = true
	w := newSoakPlatform(t, layout)
	time.Sleep(4 * time.Second) // Until the engines have loaded their layers, and the daemons know each other.
	cs := startCallers(w, 6*daemons, seed, ownBody)
	history := injectFaultsOf(w, append(cutFaults, soakFaults...), seed, duration)
	faultsEnded := time.Now()
	time.Sleep(healTime + quietTime)
	checkResults(t, w, cs.stop(), faultsEnded.Add(healTime-quietTime/2))
	if t.Failed() {
		t.Logf("seed %d:\n%s\nlogs: %s", seed, strings.Join(history, "\n"), w.keepLogs(t))
	}
}

func TestSoakWithCuts(t *testing.T) { forEachSeed(t, soakWithCuts) }
