package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAnswersThatSayLeavingAreObserved guards against requests to endpoints whose answers have said that they are leaving.
func TestAnswersThatSayLeavingAreObserved(t *testing.T) {
	leaving := func(respond string) responder {
		return func(conn net.Conn, _ int, request *http.Request) bool {
			return send(conn, strings.ReplaceAll(respond, "ID", request.Header.Get("Id")))
		}
	}
	cases := []struct {
		name     string
		respond  string
		observed bool
	}{
		{"whole answer", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nhello", true},
		{"stream", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", true},
		{"error", "HTTP/1.1 500 Bad\r\nId: ID\r\nSignature: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"refusal", "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"of another endpoint at the address", "HTTP/1.1 421 No\r\nId: ID\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"not leaving", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, leaving(c.respond)))
			w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
			w.waitIdle(t)
			w.endpoints.mu.Lock()
			defer w.endpoints.mu.Unlock()
			must.Eq(t, c.observed, strings.Contains(strings.Join(w.endpoints.observed, ","), "e0 leaving"))
		})
	}
}
