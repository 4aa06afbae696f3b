package proof

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// failoverRounds is the number of engines that fail one after another, each for failoverTime. They work again for
	// failoverPause before the next one fails.
	failoverRounds = 4
	failoverTime   = 2500 * time.Millisecond
	failoverPause  = 2 * time.Second
	// silentStallTime is when a stream counts as stalled with silentConfiguration. Most streams must go on within maxRecovery
	// after it.
	silentStallTime = 600 * time.Millisecond
	maxRecovery     = 500 * time.Millisecond
)

// percentile returns the duration at the given percentile, or 0 if there are none.
func percentile(sorted []time.Duration, percent int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond)
}

// failOneByOne fails engines one after another.
func failOneByOne(w *soakPlatform, random *rand.Rand, fail func(w *soakPlatform, id string)) {
	engines := slices.DeleteFunc(slices.Clone(w.engines), func(id string) bool { return !strings.Contains(id, "-e") })
	for range failoverRounds {
		id := engines[random.IntN(len(engines))]
		fail(w, id)
		time.Sleep(failoverTime)
		postControl(w.control, "/engines/"+id+"/faults", map[string]any{})
		time.Sleep(failoverPause)
	}
}

// gapsElsewhere returns the longest gaps of the complete streams that ran more than once, in their order, and how many streams
// broke off.
func gapsElsewhere(results []soakResult, runs map[string]int) (gaps []time.Duration, brokeOff int) {
	for i := range results {
		r := &results[i]
		switch {
		case r.status == http.StatusServiceUnavailable:
		case r.status != http.StatusOK || r.err != nil:
			brokeOff++
		case runs[r.id] > 1:
			gaps = append(gaps, r.longestGap)
		}
	}
	slices.Sort(gaps)
	return gaps, brokeOff
}

// failover checks how long streams stand still that go on elsewhere when an engine fails.
func failover(t *testing.T, seed uint64, fail func(w *soakPlatform, id string)) {
	t.Helper()
	w := newSilentPlatform(t, 2)
	cs := startCallersOfKinds(w, 16, seed, ownBody, []soakKind{streamKind})
	time.Sleep(time.Second)
	failOneByOne(w, rand.New(rand.NewPCG(seed, seed)), fail)
	results := cs.stop()
	gaps, brokeOff := gapsElsewhere(results, w.runCounts(t))
	t.Logf("of %d streams, %d broke off and %d went on elsewhere, with gaps of p50 %s, p95 %s, at most %s", len(results), brokeOff,
		len(gaps), percentile(gaps, 50), percentile(gaps, 95), percentile(gaps, 100))
	if len(gaps) == 0 || percentile(gaps, 95) >= silentStallTime+maxRecovery {
		t.Errorf("streams stood still for %s (p95)\nlogs: %s", percentile(gaps, 95), w.keepLogs(t))
	}
}

// TestStreamsGoOnElsewhere guards against streams that stand still for long when an engine fails for good.
func TestStreamsGoOnElsewhere(t *testing.T) {
	cases := []struct {
		name string
		fail func(w *soakPlatform, id string)
	}{
		{"silent", func(w *soakPlatform, id string) {
			postControl(w.control, "/engines/"+id+"/faults", map[string]any{"silent": true})
		}},
		{"crashed", func(w *soakPlatform, id string) { postControl(w.control, "/engines/"+id+"/crash", nil) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			forEachSeed(t, func(t *testing.T, seed uint64, _ int, _ time.Duration) { failover(t, seed, c.fail) })
		})
	}
}
