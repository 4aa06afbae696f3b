package passthrough_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newForgetfulEndpoint returns an endpoint that keeps nothing of the requests that it answers.
func newForgetfulEndpoint(t *testing.T) *endpoint {
	t.Helper()
	return &endpoint{listener: listenWith(t, answerAndForget)}
}

func answerAndForget(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil || !send(conn, wholeAnswer(request, "hello")) {
			return
		}
	}
}

// TestFinishedRequestsHoldNoMemory guards against requests that stay in memory for the rest of their time budget (LOST): after
// their answers, only what the connections need is left.
func TestFinishedRequestsHoldNoMemory(t *testing.T) {
	const (
		requests  = 100
		bodyBytes = 512 << 10
		maxGrowth = 8 << 20
	)
	cases := []struct {
		name string
		path string
		// reuses is set if all requests come on one connection.
		reuses bool
	}{
		{"unsafe, on one connection", "/unsafe/a", true},
		{"safe, on one connection", "/safe/a", true},
		{"unsafe, each on a connection of its own", "/unsafe/a", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testRules()
			set.Limits.MaxBodyBytes = bodyBytes
			set.Limits.IdleTimeout = time.Minute
			setTimeouts(set, time.Minute)
			w := startServer(t, set, newForgetfulEndpoint(t))
			body := strings.Repeat("x", bodyBytes)
			conn, reader := w.dial(t)
			must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute))) // It carries all bodies, also on a busy machine.
			before := heapInUse()
			for range requests {
				if !c.reuses {
					conn, reader = w.dial(t)
				}
				must.True(t, send(conn, requestText("POST", c.path, "1", body)))
				must.Eq(t, http.StatusOK, readAnswer(reader).status)
				if !c.reuses {
					must.NoError(t, conn.Close())
				}
			}
			w.waitIdle(t)
			growth := heapInUse() - before
			t.Logf("the memory in use grew by %d KiB", growth>>10)
			must.Less(t, maxGrowth, growth)
		})
	}
}

// heapInUse returns the size of what is reachable, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
