package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// unframedStream returns a responder that streams events until the end of the connection, without length or chunks.
func unframedStream(upTo int, partial string, end func(conn net.Conn) bool) responder {
	return func(conn net.Conn, _ int, request *http.Request) bool {
		first := 1
		if request.Header.Get("Last") == "3" {
			first = 4
		}
		send(conn, strings.Replace(streamHead(request), "Transfer-Encoding: chunked\r\n", "", 1))
		for id := first; id <= upTo; id++ {
			send(conn, eventText(id))
		}
		send(conn, partial)
		time.Sleep(20 * time.Millisecond) // Until the bytes are read, as a reset takes back those that are not.
		return end(conn)
	}
}

func endClosed(net.Conn) bool { return false }

// TestUnframedStreamIsCompleteOnlyIfClosed checks streams that end with their connection: one that is reset, or ends inside an
// event, is resumed at the second endpoint, and otherwise does not look complete.
func TestUnframedStreamIsCompleteOnlyIfClosed(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  responder
		whole  bool
		// secondRequests is the number of requests that the second endpoint gets.
		secondRequests int
	}{
		{"closed", "/stream/a", unframedStream(6, "", endClosed), true, 0},
		{"closed, may run once", "/once/a", unframedStream(6, "", endClosed), true, 0},
		{"reset", "/stream/a", unframedStream(3, "", reset), true, 1},
		{"closed inside an event", "/stream/a", unframedStream(3, "id: 4\nda", endClosed), true, 1},
		{"reset, may run once", "/once/a", unframedStream(3, "", reset), false, 0},
		{"closed inside an event, may run once", "/once/a", unframedStream(3, "id: 4\nda", endClosed), false, 0},
		{"silent, then closed", "/stream/a", unframedStream(3, "", endSilent), true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := newEndpoint(t, unframedStream(6, "", endClosed))
			w := startServer(t, testRules(), newEndpoint(t, c.first), second)
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.Eq(t, c.whole, got.err == nil)
			if c.whole {
				must.Eq(t, singleLine(sixEvents()), singleLine(got.body))
			}
			must.Len(t, c.secondRequests, second.requests())
			w.waitIdle(t)
		})
	}
}
