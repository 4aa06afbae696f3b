package passthrough_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLongAnswerToSlowCallerIsWhole guards against a long answer that is cut because its caller reads it more slowly than the endpoint sends it,
// while there is time and memory left.
func TestLongAnswerToSlowCallerIsWhole(t *testing.T) {
	const (
		size = 24 << 20
		// pace is how many bytes the caller reads before it pauses for pause: some 25 MiB a second.
		pace  = 256 << 10
		pause = 10 * time.Millisecond
		// maxWaiting is what may wait for the caller, with what the endpoint has sent before it is held back.
		maxWaiting = 6 << 20
	)
	text := strings.Repeat("0123456789abcdef", size/16)
	cases := []struct{ name, target, fields string }{
		{"a body", "/unsafe/a", ""},
		{"that may be repeated", "/safe/a", ""},
		{"a stream", "/once/a", "Content-Type: text/event-stream\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			body := text
			if c.fields != "" {
				body = strings.Repeat("data: "+strings.Repeat("x", 8184)+"\n\n", size/8192)
			}
			e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
				head, rest, _ := strings.Cut(wholeAnswer(request, body), "\r\n")
				return send(conn, head+"\r\n"+c.fields+rest)
			})
			set := testRules()
			setTimeouts(set, time.Minute)
			w := startServer(t, set, e)
			conn, reader := w.dial(t)
			must.NoError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			must.True(t, send(conn, requestText("POST", c.target, "1", "x")))
			response, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			read, most := int64(0), int64(0)
			for err == nil {
				var n int64
				n, err = io.CopyN(io.Discard, response.Body, pace)
				read += n
				most = max(most, w.server.UnsentBytes())
				time.Sleep(pause)
			}
			must.ErrorIs(t, err, io.EOF)
			must.Eq(t, int64(len(body)), read)
			t.Logf("%d KiB waited at most", most>>10)
			must.LessEq(t, int64(maxWaiting), most)
		})
	}
}
