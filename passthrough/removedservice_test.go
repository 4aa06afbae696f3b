package passthrough_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRemovedServiceEndsRequestsTruthfully guards against a refusal in the middle of an answer, or of a request that may have
// run, when the service is removed while its endpoint fails.
func TestRemovedServiceEndsRequestsTruthfully(t *testing.T) {
	cases := []struct {
		name   string
		target string
		first  responder
		// status is that of the only answer, whole tells whether it ends like a complete one.
		status string
		whole  bool
	}{
		{"a part of a stream has been sent", "/stream/a", streamEvents(3, "", reset), "200", false},
		{"a safe request may have run", "/safe/a", cutBody, "502", true},
		{"a stream may have run", "/stream/a", streamEvents(-1, "", func(net.Conn) bool { return false }), "200", false},
		{"the request has not run", "/safe/a", answerNotRun, "503", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w *testServer
			first := newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
				w.serviceRemoved.Store(true)
				return c.first(conn, number, request)
			})
			w = startServer(t, testRules(), first, newEndpoint(t, answerWith("second")))
			conn, reader := w.dial(t)
			text := strings.Replace(requestText("POST", c.target, "1", "x"), "Key: k", "Key: k\r\nConnection: close", 1)
			must.True(t, send(conn, text))
			all, err := io.ReadAll(reader)
			must.NoError(t, err)
			answers := strings.Split(string(all), "HTTP/1.1 ")[1:]
			must.Len(t, 1, answers, must.Sprintf("%q", all))
			must.StrHasPrefix(t, c.status, answers[0])
			must.Eq(t, c.whole, !strings.Contains(answers[0], "chunked") || strings.HasSuffix(answers[0], "0\r\n\r\n"))
			w.waitIdle(t)
		})
	}
}
