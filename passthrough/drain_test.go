package passthrough_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDrainFinishesExchangesInProgress(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		if request.URL.Path == "/stream/slow" {
			send(conn, streamHead(request)+chunk(eventText(1)))
			<-release
			send(conn, chunk(eventText(2)))
			return endWhole(conn)
		}
		return send(conn, wholeAnswer(request, "hello"))
	})
	set := testRules()
	set.Rules[2].TargetGap = time.Minute // The rule of /stream/.
	set.Rules[2].Timeout = time.Minute
	w := startServer(t, set, e)
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/stream/slow", "1", "x")))
	_, err := reader.Peek(1)
	must.NoError(t, err)
	drained := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drainInBackground(ctx, w, drained)

	// Until the platform knows that the daemon is not ready, requests are answered and their connections closed.
	early := w.ask(t, requestText("GET", "/safe/a", "2", ""))
	must.Eq(t, 200, early.status)
	must.True(t, early.last)

	time.Sleep(2700 * time.Millisecond) // Longer than the server's readinessDelay.
	lateAnswer := w.ask(t, requestText("GET", "/safe/a", "3", ""))
	must.Eq(t, 503, lateAnswer.status)
	close(release)
	got := readAnswer(reader)
	must.NoError(t, got.err)
	must.Eq(t, eventText(1)+eventText(2), got.body)

	// The head of the stream's answer was written before Drain, so the connection is still open and a further request may be answered.
	if send(conn, requestText("GET", "/safe/a", "4", "")) {
		next := readAnswer(reader)
		must.True(t, next.err != nil || next.status == 503)
	}
	<-drained
}

// TestDrainAnswersNewConnection opens a connection before a draining server refuses requests, and uses it after that.
func TestDrainAnswersNewConnection(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(conn net.Conn, _ int, request *http.Request) bool {
		<-release
		return send(conn, wholeAnswer(request, "hello"))
	})
	set := testRules()
	set.Rules[0].Timeout = time.Minute // The rule of /safe/.
	w := startServer(t, set, e)
	busy, busyReader := w.dial(t)
	must.True(t, send(busy, requestText("GET", "/safe/a", "1", "")))
	drained := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drainInBackground(ctx, w, drained)
	time.Sleep(2400 * time.Millisecond) // Shorter than the server's readinessDelay.
	conn, reader := w.dial(t)
	time.Sleep(200 * time.Millisecond) // Shorter than the HeadTimeout of the rules.
	must.True(t, send(conn, requestText("GET", "/safe/a", "2", "")))
	got := readAnswer(reader)
	must.NoError(t, got.err)
	must.Eq(t, 503, got.status)
	close(release)
	must.NoError(t, readAnswer(busyReader).err)
	<-drained
}

// TestDrainAnswersRequestsBehindOthers guards against whole requests that are read behind one whose answer closes the connection.
func TestDrainAnswersRequestsBehindOthers(t *testing.T) {
	g := newGate()
	w := startServer(t, testRules(), newEndpoint(t, inTheMiddle(g)))
	conn, reader := w.dial(t)
	must.True(t, send(conn, requestText("POST", "/unsafe/a", "1", "x")))
	<-g.reached
	for i := range 3 {
		must.True(t, send(conn, requestText("POST", "/unsafe/a", fmt.Sprint(i), "x")))
	}
	time.Sleep(20 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan struct{})
	drainInBackground(ctx, w, drained)
	close(g.opened)
	for i := range 4 {
		got := readAnswer(reader)
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, i == 3, got.last)
	}
	<-drained
}

// drainInBackground calls Drain, closes drained when that returns, and returns itself once the server is draining.
func drainInBackground(ctx context.Context, w *testServer, drained chan<- struct{}) {
	go func() {
		w.server.Drain(ctx)
		close(drained)
	}()
	for !w.server.IsDraining() {
		time.Sleep(time.Millisecond)
	}
}
