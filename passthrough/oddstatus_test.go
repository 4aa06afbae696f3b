package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// oddStatusLines are the beginnings of heads that no answer of HTTP/1.1 has here: a status is a number of three digits from 100 to 599, and
// nobody asked for another protocol.
var oddStatusLines = []string{
	"HTTP/1.1 000 Odd", "HTTP/1.1 001 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 101 Switching Protocols",
	"HTTP/1.1 20 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 -20 Odd", "HTTP/1.1 2x0 Odd", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000",
}

// oddAnswer answers with a status line, the fields of an answer and a body of five bytes, and keeps the connection open.
func oddAnswer(line string) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		return send(conn, fmt.Sprintf("%s\r\nId: %s\r\nSignature: odd\r\nContent-Length: 5\r\n\r\nhello", line, request.Header.Get("Id")))
	}
}

// TestOddStatusIsNoAnswer guards against a status that is none, which callers got as an answer (600 and above), or which was taken for
// an interim answer and its body for the next head (below 100). The attempt is lost at once, as with any other bytes that are no answer.
func TestOddStatusIsNoAnswer(t *testing.T) {
	// atOnce is shorter than the time after which a silent attempt counts as stalled.
	const atOnce = 400 * time.Millisecond
	whole := newEndpoint(t, answerWith("whole"))
	cases := []struct {
		name, target string
		// begins is what the endpoint sends before the odd head.
		begins string
		// isPeer is set if another daemon answers, to which the request is handed over.
		isPeer bool
		want   int
		body   string
	}{
		{"may be repeated", "/safe/a", "", false, http.StatusOK, "whole"},
		{"must not be repeated", "/unsafe/a", "", false, http.StatusBadGateway, ""},
		{"of another daemon", "/unsafe/a", "", true, http.StatusBadGateway, ""},
		{"after an interim answer", "/safe/a", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false, http.StatusOK, "whole"},
	}
	for _, c := range cases {
		for _, line := range oddStatusLines {
			t.Run(c.name+", "+line, func(t *testing.T) {
				t.Parallel()
				odd := newEndpoint(t, oddAnswer(c.begins+line))
				w := startServer(t, testRules(), odd, whole)
				if c.isPeer {
					w = startSender(t, peerAt("peer", odd))
				}
				begun := time.Now()
				got := w.ask(t, requestText("POST", c.target, "1", "x"))
				must.NoError(t, got.err)
				must.Eq(t, c.want, got.status)
				if c.body != "" {
					must.Eq(t, c.body, got.body)
				}
				must.Less(t, atOnce, time.Since(begun))
				must.NotEq(t, "odd", got.header.Get("Signature"))
			})
		}
	}
}

// TestOddStatusDoesNotContinueStream lets an endpoint with an odd head resume a stream that another one has broken off.
func TestOddStatusDoesNotContinueStream(t *testing.T) {
	for _, line := range oddStatusLines {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			set := testRules()
			for i := range set.Rules {
				set.Rules[i].MaxAttempts = 3
			}
			broken := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, streamHead(request)+chunk(eventText(1))) && reset(conn)
			})
			rest := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				return send(conn, streamHead(request)+chunk(eventText(2))+"0\r\n\r\n")
			})
			w := startServer(t, set, broken, newEndpoint(t, oddAnswer(line)), rest)
			got := w.ask(t, requestText("POST", "/stream/a", "1", "x"))
			must.NoError(t, got.err)
			must.Eq(t, http.StatusOK, got.status)
			must.Eq(t, eventText(1)+eventText(2), got.body)
		})
	}
}
