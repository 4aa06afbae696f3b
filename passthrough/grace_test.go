package passthrough_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/passthrough"
)

// slowRules returns rules whose requests may take a minute.
func slowRules() *chicoryhall.RuleSet {
	set := testRules()
	for i := range set.Rules {
		set.Rules[i].Timeout, set.Rules[i].TargetLatency = time.Minute, 10*time.Second
	}
	return set
}

// TestStopAnswersRequestsInProgress guards against requests that a stop ends without an answer (LOST).
func TestStopAnswersRequestsInProgress(t *testing.T) {
	cases := []struct {
		name, target string
		// waits is set if the request waits for admission when the grace time ends.
		waits  bool
		status int
	}{
		{"an unsafe request at an endpoint", "/unsafe/a", false, http.StatusBadGateway},
		{"a safe request at an endpoint", "/safe/a", false, http.StatusBadGateway},
		{"a stream that has not begun", "/stream/a", false, http.StatusBadGateway},
		{"a request that waits for admission", "/unsafe/a", true, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reached := make(chan struct{}, 1)
			release := make(chan struct{})
			e := newEndpoint(t, func(net.Conn, int, *http.Request) bool {
				reached <- struct{}{}
				<-release
				return false
			})
			defer close(release)
			w := startConfiguredServer(t, 0, slowRules(), routerTo(e), func(w *testServer, _ *passthrough.Config) {
				if c.waits {
					w.admission = func(func(chicoryhall.Permit), func(time.Duration, string)) { reached <- struct{}{} }
				}
			})
			conn, reader := w.dial(t)
			must.True(t, send(conn, requestText("POST", c.target, "1", "x")))
			<-reached
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			w.server.Drain(ctx)
			w.stop()
			got := readAnswer(reader)
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			must.Eq(t, c.status == http.StatusServiceUnavailable, got.header.Get("Retry-After") != "")
		})
	}
}

// TestLateInGraceNoAttemptStarts guards against requests that a daemon sends to an endpoint when it is likely to stop before their
// answer (LOST).
func TestLateInGraceNoAttemptStarts(t *testing.T) {
	const grace = 3500 * time.Millisecond
	cases := []struct {
		name, target  string
		targetLatency time.Duration
		status        int
	}{
		{"a long answer", "/unsafe/a", 10 * time.Second, http.StatusServiceUnavailable},
		{"a short answer", "/unsafe/a", 50 * time.Millisecond, http.StatusOK},
		{"a stream", "/stream/a", 50 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			admitted := make(chan func(chicoryhall.Permit), 1)
			var runs atomic.Int32
			e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				runs.Add(1)
				return send(conn, wholeAnswer(request, "done"))
			})
			set := slowRules()
			for i := range set.Rules {
				set.Rules[i].TargetLatency = c.targetLatency
			}
			w := startConfiguredServer(t, 0, set, routerTo(e), func(w *testServer, _ *passthrough.Config) {
				w.admission = func(start func(chicoryhall.Permit), _ func(time.Duration, string)) { admitted <- start }
			})
			conn, reader := w.dial(t)
			must.True(t, send(conn, requestText("POST", c.target, "1", "x")))
			start := <-admitted
			ctx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			drained := make(chan struct{})
			drainInBackground(ctx, w, drained)
			time.Sleep(grace - 800*time.Millisecond) // After the server's readinessDelay.
			start(w)
			got := readAnswer(reader)
			must.NoError(t, got.err)
			must.Eq(t, c.status, got.status)
			must.Eq(t, c.status == http.StatusOK, runs.Load() == 1)
			<-drained
		})
	}
}

// TestStopAnswersWithinItsTime guards against a stop that takes longer than it has, so that the process is killed.
func TestStopAnswersWithinItsTime(t *testing.T) {
	const grace = 300 * time.Millisecond
	reached := make(chan struct{}, 1)
	w := startConfiguredServer(t, 0, slowRules(), routerTo(), func(w *testServer, _ *passthrough.Config) {
		w.admission = func(func(chicoryhall.Permit), func(time.Duration, string)) { reached <- struct{}{} }
	})
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/unsafe/a", "1", "x")))
	<-reached
	end := time.Now().Add(grace)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	answered := make(chan time.Time, 1)
	drained := make(chan struct{})
	drainInBackground(ctx, w, drained)
	go func() {
		readAnswer(reader)
		answered <- time.Now()
	}()
	must.True(t, (<-answered).Before(end), must.Sprint("the answer came after the time to stop"))
	<-drained
}
