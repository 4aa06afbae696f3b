package passthrough_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAnswerOfSafeRouteIsOneRun guards against an answer that is joined from two runs, as it consists of events, although the rule's requests may
// only run again as a whole (MIXED).
func TestAnswerOfSafeRouteIsOneRun(t *testing.T) {
	head := func(request *http.Request, signature string) string {
		return "HTTP/1.1 200 OK\r\nId: " + request.Header.Get("Id") + "\r\nSignature: " + signature +
			"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	cases := []struct {
		name string
		// first is what the first run sends before it breaks off.
		first string
		// whole is set if the caller gets the whole answer of the second run.
		whole bool
	}{
		{"after an event", chunk("data: a1\n\n"), false},
		{"after events with ids", chunk(eventText(1) + eventText(2)), false},
		{"inside the second event", chunk("data: a1\n\ndata: a"), false},
		{"inside the first event", chunk("data: a"), true},
		{"after the head", "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			broken := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, head(request, "first")+c.first) && reset(conn)
			})
			second := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, head(request, "second")+chunk("data: b1\n\ndata: b2\n\n")+"0\r\n\r\n")
			})
			got := startServer(t, testRules(), broken, second).ask(t, requestText("POST", "/safe/a", "1", "x"))
			must.Eq(t, c.whole, got.err == nil)
			if c.whole {
				must.Eq(t, "data: b1\n\ndata: b2\n\n", got.body)
				must.Eq(t, "second", got.header.Get("Signature"))
				return
			}
			must.Eq(t, "first", got.header.Get("Signature"))
			must.StrNotContains(t, got.body, "b1")
			must.Len(t, 0, second.requests())
		})
	}
}
