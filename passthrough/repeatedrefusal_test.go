package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// refusalOf returns an answer that says that a request has not run. It names no request if the ID is empty.
func refusalOf(id string) string {
	field := ""
	if id != "" {
		field = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Full\r\n" + field + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// repeatingEndpoint refuses its first request, and writes that refusal once more when a further request comes on the same
// connection, which it answers.
type repeatingEndpoint struct {
	// repeated returns the refusal that is written once more, given the IDs of the first and the further request.
	repeated func(first, further string) string
	// inOnePiece is set if it is in the same segment as the answer, otherwise it comes before by soon.
	inOnePiece bool

	mu    sync.Mutex
	first net.Conn
	id    string
}

func (e *repeatingEndpoint) respond(conn net.Conn, _ int, request *http.Request) bool {
	e.mu.Lock()
	isFirst, isKept := e.first == nil, e.first == conn
	if isFirst {
		e.first, e.id = conn, request.Header.Get("Id")
	}
	id := e.id
	e.mu.Unlock()
	if isFirst {
		return send(conn, refusalOf(id))
	}
	answer := wholeAnswer(request, "hello")
	if !isKept {
		return send(conn, answer)
	}
	again := e.repeated(id, request.Header.Get("Id"))
	if e.inOnePiece {
		return send(conn, again+answer)
	}
	sent := send(conn, again)
	time.Sleep(soon)
	return sent && send(conn, answer)
}

// TestEarlierRefusalOnceMore guards against a refusal that an endpoint writes once more on a kept connection (REFUSED, TWICE): it
// says nothing of the request that runs there now, also if that has the same ID, and its caller gets the answer.
func TestEarlierRefusalOnceMore(t *testing.T) {
	copies := []struct {
		name     string
		repeated func(first, further string) string
	}{
		{"of the earlier request", func(first, _ string) string { return refusalOf(first) }},
		{"without an ID", func(string, string) string { return refusalOf("") }},
		{"twice", func(first, _ string) string { return refusalOf(first) + refusalOf("") }},
	}
	for _, c := range copies {
		for _, further := range []string{"1", "2"} {
			for _, path := range []string{"/unsafe/a", "/safe/a"} {
				for _, inOnePiece := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, further ID %s, %s, in one piece %t", c.name, further, path, inOnePiece), func(t *testing.T) {
						first := newEndpoint(t, (&repeatingEndpoint{repeated: c.repeated, inOnePiece: inOnePiece}).respond)
						w := startServer(t, testRules(), first)
						refused := w.ask(t, requestText("POST", path, "1", "x"))
						must.Eq(t, http.StatusServiceUnavailable, refused.status)
						got := w.ask(t, requestText("POST", path, further, "x"))
						must.NoError(t, got.err)
						must.Eq(t, http.StatusOK, got.status)
						must.Eq(t, "hello", got.body)
						must.Len(t, 2, first.requests())
					})
				}
			}
		}
	}
}

// TestAnswerWithoutIDAfterAForeignOne guards against a refusal without an ID that follows an answer to another request on a new
// connection: it may belong to that one, too.
func TestAnswerWithoutIDAfterAForeignOne(t *testing.T) {
	first := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		sent := send(conn, refusalOf("other")+refusalOf(""))
		time.Sleep(soon)
		return sent && send(conn, wholeAnswer(request, "hello"))
	})
	second := newEndpoint(t, answerWith("second"))
	w := startServer(t, testRules(), first, second)
	got := w.ask(t, requestText("POST", "/unsafe/a", "1", "x"))
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, "hello", got.body)
	must.Len(t, 0, second.requests())
}
