package passthrough_test

import (
	"context"
	"net"
	"net/http"
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
