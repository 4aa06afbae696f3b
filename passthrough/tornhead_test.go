package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// TestTornAnswerNeverLooksWhole guards against an answer whose head or body its endpoint has not completed, and that the caller gets as a
// complete one (MIXED, ORDER). The endpoint ends its answer at each byte.
func TestTornAnswerNeverLooksWhole(t *testing.T) {
	const body = "whole body"
	plain := fmt.Sprintf("Id: %%s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	events := eventText(1) + eventText(2)
	stream := "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
	cases := []struct {
		name, target string
		// answer is the whole answer; %s stands for the request's ID.
		answer, body string
		// first is what an endpoint before sends of a stream that is resumed.
		first string
		// endsWithClose is set if the end of the connection is the end of the body.
		endsWithClose bool
		// isPeer is set if another daemon answers, to which the request is handed over.
		isPeer bool
	}{
		{"a length", "/unsafe/a", "HTTP/1.1 200 OK\r\n" + plain, body, "", false, false},
		{"HTTP/1.0", "/unsafe/a", "HTTP/1.0 200 OK\r\n" + plain, body, "", false, false},
		{"an interim answer before", "/unsafe/a", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + plain, body, "", false, false},
		{"chunks", "/unsafe/a", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n", body, "", false, false},
		{"no length", "/unsafe/a", "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n" + body, body, "", true, false},
		{"HTTP/1.0 without a length", "/unsafe/a", "HTTP/1.0 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n" + body, body, "", true, false},
		{"a stream", "/once/a", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunk(eventText(1)) + chunk(eventText(2)) + "0\r\n\r\n", events, "", false, false},
		{"a stream without a length", "/once/a", stream + "\r\n" + events, events, "", true, false},
		{
			"a resumed stream", "/stream/a", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunk(eventText(2)) + "0\r\n\r\n", events,
			stream + "Transfer-Encoding: chunked\r\n\r\n" + chunk(eventText(1)), false, false,
		},
		{"another daemon's answer", "/unsafe/a", "HTTP/1.1 200 OK\r\n" + plain, body, "", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var length, resets atomic.Int64
			torn := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				answer := strings.Replace(c.answer, "%s", request.Header.Get("Id"), 1)
				send(conn, answer[:min(int64(len(answer)), length.Load())])
				if resets.Load() > 0 {
					return reset(conn)
				}
				return false
			})
			endpoints := []*endpoint{torn}
			if c.first != "" {
				endpoints = []*endpoint{newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
					return send(conn, strings.Replace(c.first, "%s", request.Header.Get("Id"), 1)) && false
				}), torn}
			}
			w := startServer(t, testRules(), endpoints...)
			if c.isPeer {
				w = startSender(t, peerAt("peer", torn))
			}
			w.setRetries(1 << 20)
			id := "100"
			text := strings.Replace(c.answer, "%s", id, 1)
			whole, headEnds := len(text), strings.Index(text, "\r\n\r\n")+len("\r\n\r\n")
			for at := range whole {
				for kind := range int64(2) {
					isStream := strings.Contains(c.answer, "event-stream")
					if c.endsWithClose && kind == 0 && at >= headEnds && (!isStream || at == headEnds || strings.HasSuffix(text[:at], "\n\n")) {
						continue // Such an answer is complete as far as anybody can see.
					}
					length.Store(int64(at))
					resets.Store(kind)
					got := w.ask(t, requestText("POST", c.target, strconv.Itoa(100+at%900), "x"))
					isWhole := got.err == nil && got.status == http.StatusOK
					must.False(t, isWhole, must.Sprintf("%d of %d bytes, reset %d: %+v", at, whole, kind, got))
				}
			}
			length.Store(int64(whole))
			resets.Store(0)
			got := w.ask(t, requestText("POST", c.target, id, "x"))
			must.NoError(t, got.err)
			must.Eq(t, c.body, got.body)
		})
	}
}
