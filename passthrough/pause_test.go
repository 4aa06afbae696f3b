package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPausesThatEndpointsAskForAreRecorded guards against requests to endpoints that have asked for none.
func TestPausesThatEndpointsAskForAreRecorded(t *testing.T) {
	cases := []struct {
		name   string
		head   string
		pauses bool
	}{
		{"refusal", "503 Full\r\nNot-Run: 1\r\nPause: 3s", true},
		{"failure that may have run", "503 Bad\r\nSignature: s\r\nPause: 3s", true},
		{"of another endpoint at the address", "421 No\r\nNot-Run: 1\r\nPause: 3s", false},
		{"refusal without a time", "503 Full\r\nNot-Run: 1", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", c.head, request.Header.Get("Id")))
			}))
			startedAt := time.Now()
			w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
			w.waitIdle(t)
			w.endpoints.mu.Lock()
			defer w.endpoints.mu.Unlock()
			until, pauses := w.endpoints.pausedUntil["e0"]
			must.Eq(t, c.pauses, pauses)
			must.True(t, !pauses || !until.Before(startedAt.Add(3*time.Second)))
		})
	}
}
