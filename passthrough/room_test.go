package passthrough_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// errFull is a router's error that means that all endpoints are full.
var errFull = fullError{errors.New("no endpoint has room")}

type fullError struct{ error }

func (fullError) LacksRoom() bool { return true }

// fullRouter is an orderedRouter whose endpoints are full from the given choice on, for the given time.
type fullRouter struct {
	orderedRouter
	fromChoice int64
	fullFor    time.Duration
	choices    atomic.Int64
	fullSince  atomic.Int64
}

func (r *fullRouter) Choose(query chicoryhall.RouteQuery) (chicoryhall.Route, error) {
	if r.choices.Add(1) >= r.fromChoice {
		now := time.Now().UnixNano()
		r.fullSince.CompareAndSwap(0, now)
		if now < r.fullSince.Load()+r.fullFor.Nanoseconds() {
			return chicoryhall.Route{}, errFull
		}
	}
	return r.orderedRouter.Choose(query)
}

// TestRequestsWaitForRoom lets all endpoints be full for some time. A request must be answered if they have room while it
// can still be answered in time, or while its stream can go on, and must be refused soon otherwise.
func TestRequestsWaitForRoom(t *testing.T) {
	const targetLatency = 200 * time.Millisecond // That of the rules.
	cases := []struct {
		name       string
		target     string
		fromChoice int64
		fullFor    time.Duration
		status     int
		isComplete bool
		within     time.Duration
	}{
		{"room soon", "/safe/a", 1, 60 * time.Millisecond, http.StatusOK, true, targetLatency},
		{"no room", "/safe/a", 1, time.Minute, http.StatusServiceUnavailable, true, targetLatency},
		{"room for the rest of a stream", "/stream/a", 2, 500 * time.Millisecond, http.StatusOK, true, time.Second},
		{"no room for the rest of a stream", "/stream/a", 2, time.Minute, http.StatusOK, false, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := newEndpoint(t, func(conn net.Conn, number int, request *http.Request) bool {
				if strings.HasPrefix(request.URL.Path, "/stream/") {
					return streamEvents(3, "", reset)(conn, number, request)
				}
				return send(conn, wholeAnswer(request, "hello"))
			})
			router := &fullRouter{
				orderedRouter: routerTo(first, newEndpoint(t, streamEvents(6, "", endWhole))), fromChoice: c.fromChoice, fullFor: c.fullFor,
			}
			w := startRoutedServer(t, 0, testRules(), router)
			startedAt := time.Now()
			got := w.ask(t, requestText("POST", c.target, "1", "x"))
			must.Less(t, c.within, time.Since(startedAt))
			must.Eq(t, c.status, got.status)
			must.Eq(t, c.isComplete, got.err == nil)
			w.waitIdle(t)
		})
	}
}
