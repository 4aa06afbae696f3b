package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// endless returns a responder that sends a beginning and then a piece again and again until its connection closes.
func endless(begin func(*http.Request) string, piece string, closed *atomic.Bool) responder {
	block := strings.Repeat(piece, max(1, 32<<10/len(piece)))
	return func(conn net.Conn, _ int, request *http.Request) bool {
		sent := send(conn, begin(request))
		for sent {
			sent = send(conn, block)
		}
		closed.Store(true)
		return false
	}
}

// beginHead returns the beginning of an answer with the given status line and fields.
func beginHead(status, fields string) func(*http.Request) string {
	return func(request *http.Request) string {
		return "HTTP/1.1 " + status + "\r\nId: " + request.Header.Get("Id") + "\r\nSignature: s\r\n" + fields
	}
}

// TestLongAnswerThatEndsWithItsConnectionIsWhole guards against the loss of what an endpoint has sent before its close.
func TestLongAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	w := startServer(t, testRules(), newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		send(conn, beginHead("200 OK", "\r\n")(request)+long)
		return false
	}))
	for range 30 {
		got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
		must.NoError(t, got.err)
		must.Eq(t, len(long), len(got.body))
	}
}
