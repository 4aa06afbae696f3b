package passthrough_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAnswerBehindRefusalIsReported checks that an endpoint which refuses a request and answers it all the same is reported.
func TestAnswerBehindRefusalIsReported(t *testing.T) {
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		send(conn, refusalOf(request.Header.Get("Id")))
		time.Sleep(30 * time.Millisecond)
		return send(conn, wholeAnswer(request, "done"))
	})
	w := startServer(t, testRules(), e)
	got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	w.logs.await(t, "event=2059", "request=1", "status=200")
	w.logs.await(t, "event=2045", "request=1", "notRun=true", "request 1")
}
