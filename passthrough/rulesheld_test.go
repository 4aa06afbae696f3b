package passthrough_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRequestHoldsOnlyItsRule guards against requests that keep the whole rule set under which they came until they end: while rules
// change often, memory grows with the size of the rules times the number of changes within a request's time.
func TestRequestHoldsOnlyItsRule(t *testing.T) {
	const changes = 40
	before := heapInUse()
	table := largeRules(1)
	setBytes := heapInUse() - before
	runtime.KeepAlive(table)

	set := testRules()
	set.Limits.IdleTimeout = time.Minute
	set.Limits.HeadTimeout = time.Minute
	w := startServer(t, set, newEndpoint(t, script(silentStep)))
	before = heapInUse()
	for version := range int64(changes) {
		rules := largeRules(version + 2)
		setTimeouts(rules, time.Minute)
		w.rules.Apply(rules)
		w.sendOn(t, requestText("POST", "/unsafe/a", "1", ""))
		w.awaitInFlight(t, int(version)+1)
	}
	growth := heapInUse() - before
	t.Logf("%d requests under as many rule sets of %d KiB hold %d KiB", changes, setBytes>>10, growth>>10)
	must.Less(t, 5*setBytes, growth) // The current set and its index, the requests, and as much again.
}

// awaitInFlight waits until a number of requests are in flight at endpoints.
func (s *testServer) awaitInFlight(t *testing.T, requests int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.inFlight() < requests; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are in flight at endpoints, not %d", s.inFlight(), requests)
		}
	}
}
