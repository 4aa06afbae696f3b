package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
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

// TestLateAnswersAreHeeded guards against requests to an endpoint that has asked for none in an answer for which nobody waits any
// more.
func TestLateAnswersAreHeeded(t *testing.T) {
	const wait = 200 * time.Millisecond
	pause := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nPause: 3s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	cases := []struct {
		name    string
		respond responder
		heeded  bool
	}{
		{"of an earlier request, before the right one", func(conn net.Conn, _ int, request *http.Request) bool {
			return send(conn, pause("earlier")) && answerWith("hello")(conn, 1, request)
		}, true},
		{"right after the deadline", func(conn net.Conn, _ int, request *http.Request) bool {
			time.Sleep(wait + 30*time.Millisecond)
			return send(conn, pause(request.Header.Get("Id")))
		}, true},
		{"behind a complete answer", func(conn net.Conn, _ int, request *http.Request) bool {
			return answerWith("hello")(conn, 1, request) && send(conn, pause("other"))
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, c.respond))
			text := strings.Replace(requestText("POST", "/unsafe/a", "1", "x"), "Key: k", "Key: k\r\nWait: "+wait.String(), 1)
			w.ask(t, text)
			w.waitIdle(t)
			time.Sleep(wait)
			w.endpoints.mu.Lock()
			defer w.endpoints.mu.Unlock()
			_, pauses := w.endpoints.pausedUntil["e0"]
			must.Eq(t, c.heeded, pauses)
			must.Eq(t, c.heeded, strings.Contains(strings.Join(w.endpoints.observed, ","), "e0 leaving"))
		})
	}
}
