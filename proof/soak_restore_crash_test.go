package proof

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRestoredStoreDoesNotFreeCrashingRequest restores the store from a copy from before a request crashed endpoints, and
// crashes another endpoint after that, which makes daemons read each other's reports.
func TestRestoredStoreDoesNotFreeCrashingRequest(t *testing.T) {
	w := newSoakPlatform(t, smallService(3*time.Second, false))
	innocent := startRepeating(w, 12, 1)
	time.Sleep(time.Second)
	postControl(w.control, "/copy", nil)
	crashing := startCrashing(w, []crashingRequest{{safeKind, "crash-first a"}}, 1)
	time.Sleep(crashTestTime)
	before := len(w.arrivals(t))
	postControl(w.control, "/restore", nil)
	time.Sleep(2 * time.Second)
	for _, id := range w.engines {
		postControl(w.control, "/engines/"+id+"/crash", nil)
		time.Sleep(time.Second)
	}
	checkCrashing(t, w, innocent, crashing, crashTestTime)
	must.Eq(t, before, len(w.arrivals(t)))
}
