package proof

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRestoredStoreDoesNotReviveLeavingEndpoint restores the store from a copy in which an endpoint is not leaving yet.
func TestRestoredStoreDoesNotReviveLeavingEndpoint(t *testing.T) {
	// drainTime is how long requests may still arrive at an endpoint that is leaving.
	const drainTime = 2 * time.Second
	w := newSoakPlatform(t, smallService(3*time.Second, false))
	cs := startCallersOf(w, 12, safeKind)
	time.Sleep(2 * time.Second)
	postControl(w.control, "/copy", nil)
	left := busiest(w.requestTimes(t))
	postControl(w.control, "/engines/"+left+"/leave", nil)
	leftAt := time.Now()
	time.Sleep(drainTime)
	postControl(w.control, "/restore", nil)
	time.Sleep(drainTime)
	ended := time.Now()
	checkResults(t, w, cs.stop(), leftAt)
	times := w.requestTimes(t)
	must.Positive(t, countBetween(times[left], leftAt.Add(-time.Second), leftAt))
	must.Zero(t, countBetween(times[left], leftAt.Add(drainTime), ended))
}
