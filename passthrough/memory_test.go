package passthrough_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/passthrough"
)

// TestRequestsWithoutMemoryAreRefused guards against a process that ends at its memory limit (LOST): bodies for which there is no
// memory are refused with a time to return after, and those that are held get their answers.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	const bodyBytes, room = 100 << 10, 250 << 10
	release := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		<-release
		return send(conn, wholeAnswer(request, "hello"))
	})
	set := testRules()
	set.Limits.MaxBodyBytes = bodyBytes
	budget := memory.NewBudget(room)
	w := startConfiguredServer(t, 0, set, routerTo(e), func(_ *testServer, config *passthrough.Config) { config.Memory = budget })
	body := strings.Repeat("x", bodyBytes)
	_, first := w.sendOn(t, requestText("POST", "/unsafe/a", "1", body))
	_, second := w.sendOn(t, requestText("POST", "/unsafe/a", "2", body))
	awaitHeld(t, budget, 2*bodyBytes)

	got := w.ask(t, requestText("POST", "/unsafe/a", "3", body))
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.Eq(t, "1.000", got.header.Get("Retry-After"))
	must.True(t, got.last)
	awaitHeld(t, budget, 2*bodyBytes)

	leaving, _ := w.sendOn(t, fmt.Sprintf("POST /unsafe/a HTTP/1.1\r\nHost: h\r\nId: 4\r\nKey: k\r\nContent-Length: %d\r\n\r\nxx", bodyBytes))
	awaitHeld(t, budget, 2*bodyBytes+2)
	must.NoError(t, leaving.Close())
	awaitHeld(t, budget, 2*bodyBytes)

	close(release)
	must.Eq(t, http.StatusOK, readAnswer(first).status)
	must.Eq(t, http.StatusOK, readAnswer(second).status)
	awaitHeld(t, budget, 0)
	must.Eq(t, http.StatusOK, w.ask(t, requestText("POST", "/unsafe/a", "5", body)).status)
	must.Len(t, 3, e.requests())
	awaitHeld(t, budget, 0)
}

// awaitHeld fails the test unless a budget holds a number of bytes within two seconds.
func awaitHeld(t *testing.T, budget *memory.Budget, want int64) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); budget.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held, want %d", budget.Held(), want)
		}
	}
}
