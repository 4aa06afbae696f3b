package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// soakGrace is the stopTimeout of the daemons.
	soakGrace = 8 * time.Second
	// stopWindow is the time after a SIGTERM in which answers that end early count as ended beside it. Requests sent later
	// than lateSending after it, and those still running in the last sixth of soakGrace, are excused.
	stopWindow  = soakGrace + time.Second
	lateSending = 3 * time.Second
	// changeWindow is the same time for a SIGHUP and for a change of the configuration.
	changeWindow = 3 * time.Second
	// crossingTime is the time in which a request may cross the close of its connection.
	crossingTime = 200 * time.Millisecond
	// stopPausePeriod is the time between two pauses of endpoints while a daemon stops, and maxStopPauses their number.
	stopPausePeriod = 600 * time.Millisecond
	maxStopPauses   = 15
	// pauseSettleTime is the time without pauses after the last one.
	pauseSettleTime = 4 * time.Second
)

// onceKind is a stream that may run once.
var onceKind = soakKind{"once", 60, 8 * time.Second}

// silentConfiguration is configuration with a route for onceKind. Streams stall after 600 ms, or after 450 ms with every second
// version, which has a further service.
func silentConfiguration(version int64) string {
	once := fmt.Sprintf(soakRule, "once", "once", "stream", 8000, "model", 1, false)
	text := strings.Replace(configuration(version), `"routes":[`, `"routes":[`+once+",", 1)
	if version%2 == 0 {
		return strings.NewReplacer(`"targetLatencyMs":300`, `"targetLatencyMs":150`, `"services":[`, `"services":[{"name":"other"},`).Replace(text)
	}
	return strings.NewReplacer(`"targetLatencyMs":300`, `"targetLatencyMs":200`, `"gapAimMs":150`, `"gapAimMs":200`).Replace(text)
}

// newSilentPlatform returns a platform with silentConfiguration and slow endpoints, so that many requests are in progress.
func newSilentPlatform(t *testing.T, daemons int) *soakPlatform {
	t.Helper()
	layout := twoDomains(daemons, 5, 2)
	layout.engineSettings, layout.plainSettings = map[string]any{"pace": 10}, map[string]any{"workMillis": 100}
	layout.stopTimeout = soakGrace
	w := newSoakPlatform(t, layout)
	postControl(w.control, "/configuration", jsonText(silentConfiguration(w.version.Add(2))))
	time.Sleep(2 * time.Second) // Until the engines have loaded their layers, and the daemons have the configuration.
	return w
}

func (w *soakPlatform) changeSilent() {
	postControl(w.control, "/configuration", jsonText(silentConfiguration(w.version.Add(3))))
}

// plannedWork records when what an operator does took place.
type plannedWork struct {
	changes        []time.Time
	reloads, stops map[string][]time.Time // by the name of the daemon
}

// pauseEndpoints makes endpoints fall silent, each for 0.3 to 1.5 s.
func (w *soakPlatform) pauseEndpoints(random *rand.Rand, ids []string) {
	for _, id := range ids {
		postControl(w.control, "/engines/"+id+"/pause", map[string]int{"millis": 300 + random.IntN(1200)})
	}
}

// somePaused pauses one or several endpoints, or those of a failure domain.
func somePaused(w *soakPlatform, random *rand.Rand) {
	domain := []string{"x-", "y-"}[random.IntN(2)]
	ids := []string{w.randomEndpoint(random)}
	for range random.IntN(4) {
		ids = append(ids, w.randomEndpoint(random))
	}
	if random.IntN(3) == 0 {
		ids = nil
		for _, id := range w.engines {
			if strings.HasPrefix(id, domain) {
				ids = append(ids, id)
			}
		}
	}
	w.pauseEndpoints(random, ids)
}

// silentFaults are pauses of endpoints, alone and beside planned work, which is recorded.
func silentFaults(planned *plannedWork) []soakFault {
	beside := func(act func(w *soakPlatform, random *rand.Rand)) func(*soakPlatform, *rand.Rand) func() {
		return func(w *soakPlatform, random *rand.Rand) func() {
			somePaused(w, random)
			act(w, random)
			return nil
		}
	}
	pause := soakFault{"pause endpoints", beside(func(*soakPlatform, *rand.Rand) {})}
	change := soakFault{"pause endpoints and change the configuration three times", beside(func(w *soakPlatform, random *rand.Rand) {
		for range 3 {
			planned.changes = append(planned.changes, time.Now())
			w.changeSilent()
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		}
	})}
	reload := soakFault{"pause endpoints and reload a daemon", beside(func(w *soakPlatform, random *rand.Rand) {
		d := w.randomDaemon(random)
		planned.reloads[d.name] = append(planned.reloads[d.name], time.Now())
		d.signal(syscall.SIGHUP)
	})}
	stop := soakFault{"pause endpoints and restart a daemon", beside(func(w *soakPlatform, random *rand.Rand) {
		d := w.randomDaemon(random)
		planned.stops[d.name] = append(planned.stops[d.name], time.Now())
		d.signal(syscall.SIGTERM)
		for range maxStopPauses {
			if d.wait(stopPausePeriod) {
				break
			}
			somePaused(w, random)
		}
		d.kill()
		d.start()
	})}
	return []soakFault{pause, pause, change, reload, stop}
}

// endedEarly reports whether an answer ended before its deadline although an endpoint could have completed it.
func endedEarly(r *soakResult) bool {
	if r.took >= r.kind.timeout {
		return false
	}
	return r.err != nil || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
}

// isBeside reports whether a request ended within a window after one of the times.
func isBeside(r *soakResult, times []time.Time, window time.Duration) bool {
	return lastBefore(r, times).Add(window).After(r.sentAt.Add(r.took))
}

// lastBefore returns the last of the times before the end of a request, or the zero time.
func lastBefore(r *soakResult, times []time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.Before(r.sentAt.Add(r.took)) {
			last = at
		}
	}
	return last
}

// isExcused reports whether a request that ended beside a SIGTERM was sent too late, ran until the end of the grace time, or
// crossed the close of its connection.
func isExcused(r *soakResult, stop time.Time, ran bool) bool {
	isLast := r.sentAt.Add(r.took).After(stop.Add(soakGrace - soakGrace/6))
	return r.sentAt.After(stop.Add(lateSending)) || isLast || !ran && r.took < crossingTime
}

// besideOf names the planned work beside which a request ended. It returns "" if the request is excused.
func (p *plannedWork) besideOf(r *soakResult, ran bool) string {
	stops := p.stops[r.daemon]
	switch {
	case isBeside(r, stops, stopWindow):
		if isExcused(r, lastBefore(r, stops), ran) {
			return ""
		}
		return "SIGTERM"
	case isBeside(r, p.reloads[r.daemon], changeWindow):
		return "SIGHUP"
	case isBeside(r, p.changes, changeWindow):
		return "configuration"
	}
	return "nothing"
}

// runCounts returns how often each request ran.
func (w *soakPlatform) runCounts(t *testing.T) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, run := range w.runs(t) {
		counts[run.Request]++
	}
	return counts
}

// checkNoneEndedEarly checks that no answer ended before its deadline. No endpoint fails in such a test.
func checkNoneEndedEarly(t *testing.T, w *soakPlatform, planned *plannedWork, results []soakResult) {
	t.Helper()
	runs := w.runCounts(t)
	early, all := make(map[string]int), make(map[string]int)
	for i := range results {
		r := &results[i]
		beside := planned.besideOf(r, runs[r.id] > 0)
		all[beside]++
		if !endedEarly(r) || beside == "" {
			continue
		}
		early[beside]++
		t.Errorf("%s request %s, sent to %s at %s, ended beside %s after %s, with status %d, %d runs: %v %.80q", r.kind.name, r.id,
			r.daemon, r.sentAt.UTC().Format("15:04:05.000"), beside, r.took, r.status, runs[r.id], r.err, r.body)
	}
	t.Logf("answers ended early, by what they ended beside: %v of %v", early, all)
}

// soakWithSilentEndpoints pauses endpoints, alone and beside planned work.
func soakWithSilentEndpoints(t *testing.T, seed uint64, daemons int, duration time.Duration) {
	t.Helper()
	w := newSilentPlatform(t, daemons)
	cs := startCallersOfKinds(w, 8*daemons, seed, ownBody, append([]soakKind{onceKind}, soakKinds...))
	planned := &plannedWork{reloads: make(map[string][]time.Time), stops: make(map[string][]time.Time)}
	history := injectFaultsOf(w, silentFaults(planned), seed, duration)
	ended := time.Now()
	time.Sleep(pauseSettleTime)
	results := cs.stop()
	checkResults(t, w, results, ended.Add(pauseSettleTime/2-quietTime/2))
	checkNoneEndedEarly(t, w, planned, results)
	if t.Failed() {
		t.Logf("seed %d:\n%s\nlogs: %s", seed, strings.Join(history, "\n"), w.keepLogs(t))
	}
}

func TestSoakWithSilentEndpoints(t *testing.T) { forEachSeed(t, soakWithSilentEndpoints) }
