package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
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

// TestCallersReturnWhenThePauseEnds guards against callers that come back while all endpoints want no requests, and against such
// that wait for nothing.
func TestCallersReturnWhenThePauseEnds(t *testing.T) {
	cases := []struct {
		name  string
		pause time.Duration
		// before says whether the pause has begun when the request comes; otherwise its answer asks for it.
		before bool
		sent   int
	}{
		{"before the request", 3 * time.Second, true, 0},
		{"by the answer to the request", 3 * time.Second, false, 1},
		{"short, by the answer to the request", 200 * time.Millisecond, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nPause: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"), c.pause))
			})
			w := startServer(t, testRules(), endpoint)
			if c.before {
				w.endpoints.RecordAnswer("e0", chicoryhall.AnswerHeaders{RetryAfter: c.pause})
			}
			begun := time.Now()
			got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
			must.NoError(t, got.err)
			must.Eq(t, http.StatusServiceUnavailable, got.status)
			must.Less(t, 200*time.Millisecond, time.Since(begun))
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			must.NoError(t, err)
			must.Between(t, c.pause.Seconds()*0.9, after, c.pause.Seconds()*1.3)
			must.Len(t, c.sent, endpoint.requests())
		})
	}
}
