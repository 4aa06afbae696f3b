package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pace"
)

// fakeLimits is a passthrough.Limits that allows each endpoint that is named in left so many requests.
type fakeLimits struct {
	mu       sync.Mutex
	left     map[chicoryhall.EndpointID]int
	recorded []pace.Statement
}

func (l *fakeLimits) Record(statement pace.Statement, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	statement.AskedAt = time.Time{}
	l.recorded = append(l.recorded, statement)
}

func (l *fakeLimits) Exhausted(chicoryhall.ServiceName, time.Time) (exhausted []chicoryhall.EndpointID, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, left := range l.left {
		if left == 0 {
			exhausted = append(exhausted, id)
		}
	}
	return exhausted, 300 * time.Millisecond
}

func (l *fakeLimits) Take(id chicoryhall.EndpointID, _ time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	left, limited := l.left[id]
	if !limited {
		return true
	}
	l.left[id] = left - 1
	return left > 0
}

// TestRequestsBeyondLimitGoElsewhere sends three requests to a server whose endpoints allow so many each. A negative number
// means that another request takes the last one after the choice of a route.
func TestRequestsBeyondLimitGoElsewhere(t *testing.T) {
	cases := []struct {
		name string
		left map[chicoryhall.EndpointID]int
		want string // the answers, one after another
	}{
		{"no limit", nil, "200 a, 200 a, 200 a, "},
		{"one limited", map[chicoryhall.EndpointID]int{"e0": 1}, "200 a, 200 b, 200 b, "},
		{"one takes none", map[chicoryhall.EndpointID]int{"e0": 0}, "200 b, 200 b, 200 b, "},
		{"taken meanwhile", map[chicoryhall.EndpointID]int{"e0": -1}, "200 b, 200 b, 200 b, "},
		{"both limited", map[chicoryhall.EndpointID]int{"e0": 1, "e1": 1}, "200 a, 200 b, 503 after 0.300, "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, answerWith("a")), newEndpoint(t, answerWith("b")))
			w.limits.left = c.left
			got := ""
			for i := range 3 {
				answer := w.ask(t, requestText("POST", "/safe/x", fmt.Sprint("id", i), "body"))
				if answer.status == http.StatusServiceUnavailable {
					answer.body = "after " + answer.header.Get("Retry-After")
				}
				got += fmt.Sprintf("%d %s, ", answer.status, answer.body)
			}
			must.Eq(t, c.want, got)
		})
	}
}

// TestAnswersAreReadForLimits answers requests and compares what is recorded of them.
func TestAnswersAreReadForLimits(t *testing.T) {
	answer := func(status int, fields string) responder {
		return func(conn net.Conn, _ int, request *http.Request) bool {
			return send(conn, fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nSignature: s\r\n%sContent-Length: 0\r\n\r\n", status, request.Header.Get("Id"), fields))
		}
	}
	limit := chicoryhall.StatedLimit{Text: "7.4"}
	cases := []struct {
		name    string
		respond responder
		want    pace.Statement
	}{
		{"success", answer(http.StatusOK, "Limit: 7.4\r\n"), pace.Statement{Endpoint: "e0", Service: "s", Limit: limit}},
		{"success without a limit", answer(http.StatusOK, ""), pace.Statement{Endpoint: "e0", Service: "s"}},
		{"refusal", answer(http.StatusServiceUnavailable, "Not-Run: 1\r\nLimit: 7.4\r\n"), pace.Statement{Endpoint: "e0", Service: "s", Limit: limit, Refused: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := startServer(t, testRules(), newEndpoint(t, c.respond))
			w.ask(t, requestText("POST", "/unsafe/x", "id", "body"))
			w.limits.mu.Lock()
			defer w.limits.mu.Unlock()
			must.Eq(t, []pace.Statement{c.want}, w.limits.recorded)
		})
	}
}
