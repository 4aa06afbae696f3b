package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/passthrough"
)

// TestAnswersAreHeldWithinAccount guards against answers that are each shorter than what one may hold, but fill the memory together. Once
// others hold too much, a success is passed on as it arrives, and what cannot be passed on is no answer; small ones are held all the same.
func TestAnswersAreHeldWithinAccount(t *testing.T) {
	const limit = 1 << 20
	long, short := strings.Repeat("x", 200<<10), strings.Repeat("x", 8<<10)
	cases := []struct {
		name  string
		begin func(*http.Request) string
		part  string
		// isFull is set if others hold as much as answers may.
		isFull bool
		// goesOn is set if the caller gets what came before the answer stopped. isLost is set if the request runs again instead.
		goesOn, isLost bool
	}{
		{"room for a success", beginHead("200 OK", "Content-Length: 1000000\r\n\r\n"), long, false, false, false},
		{"no room for a success", beginHead("200 OK", "Content-Length: 1000000\r\n\r\n"), long, true, true, false},
		{"no room for a success, small", beginHead("200 OK", "Content-Length: 1000000\r\n\r\n"), short, true, false, false},
		{"room for a failure", beginHead("500 Bad", "Content-Length: 1000000\r\n\r\n"), long, false, false, false},
		{"no room for a failure", beginHead("500 Bad", "Content-Length: 1000000\r\n\r\n"), long, true, false, true},
		{"no room for a failure, small", beginHead("500 Bad", "Content-Length: 1000000\r\n\r\n"), short, true, false, false},
		{"room for an event", beginHead("200 OK", "Content-Type: text/event-stream\r\n\r\ndata: "), long, false, false, false},
		{"no room for an event", beginHead("200 OK", "Content-Type: text/event-stream\r\n\r\ndata: "), long, true, false, true},
		{"no room for a head", beginHead("200 OK", "Field: "), strings.Repeat("x", 40<<10), true, false, true},
		{"room for a head", beginHead("200 OK", "Field: "), strings.Repeat("x", 40<<10), false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			account := memory.NewAccount(limit)
			others := int64(0)
			if c.isFull {
				others = limit / 4
			}
			account.Add(memory.CauseAnswer, others)
			stops := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, c.begin(request)+c.part) && endSilent(conn)
			})
			again := newEndpoint(t, answerWith("again"))
			w := startConfiguredServer(t, 0, testRules(), routerTo(stops, again), func(_ *testServer, config *passthrough.Config) { config.Account = account })
			conn, reader := w.dial(t)
			must.True(t, send(conn, requestText("POST", "/safe/a", "1", "x")))
			must.NoError(t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond))) // Before a silent attempt counts as stalled.
			response, err := http.ReadResponse(reader, nil)
			must.Eq(t, c.goesOn || c.isLost, err == nil)
			if err == nil {
				must.Eq(t, http.StatusOK, response.StatusCode)
			}
			must.Eq(t, c.isLost, len(again.requests()) == 1)
			_ = conn.Close()
			w.waitIdle(t)
			for deadline := time.Now().Add(2 * time.Second); account.Held(memory.CauseAnswer) != others; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d bytes of answers are still held", account.Held(memory.CauseAnswer)-others)
				}
			}
		})
	}
}
