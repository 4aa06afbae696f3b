package passthrough_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// unreadSize is the size of an answer of which a part waits in the server while its caller doesn't read.
	unreadSize = 6 << 20
	// unreadPause is how long the caller reads slowly, drainPause how long it does so if the server drains meanwhile.
	unreadPause = 1500 * time.Millisecond
	drainPause  = 3500 * time.Millisecond
	// callerPause is how long a caller reads nothing of its answer.
	callerPause = 6 * time.Second
	// slowBuffer is the size of the caller's buffer.
	slowBuffer = 256 << 10
)

func answerLarge(conn net.Conn, _ int, request *http.Request) bool {
	return send(conn, wholeAnswer(request, strings.Repeat("u", unreadSize)))
}

// slowReader pauses before each read until a moment.
type slowReader struct {
	io.Reader
	until time.Time
}

func (r slowReader) Read(buffer []byte) (int, error) {
	if time.Now().Before(r.until) {
		time.Sleep(400 * time.Millisecond)
	}
	return r.Reader.Read(buffer)
}

// dialSlowly opens a connection of a caller that reads slowly for a while.
func (s *testServer) dialSlowly(t *testing.T, pause time.Duration) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, _ := s.dial(t)
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(slowBuffer))
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn, bufio.NewReaderSize(slowReader{Reader: conn, until: time.Now().Add(pause)}, slowBuffer)
}

// TestUnreadAnswerOutlivesItsConnection guards against a close that takes back an answer of which the caller has not read all.
func TestUnreadAnswerOutlivesItsConnection(t *testing.T) {
	cases := []struct {
		name, field string
		idle        time.Duration
		drain       bool
	}{
		{"the connection closes after the answer", "Connection: close\r\n", time.Second, false},
		{"the idle timeout is over", "", 20 * time.Millisecond, false},
		{"the daemon stops", "", 15 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			set := testRules()
			set.Limits.IdleTimeout = c.idle
			setTimeouts(set, time.Minute)
			w := startServer(t, set, newEndpoint(t, answerLarge))
			pause := unreadPause
			if c.drain {
				pause = drainPause
			}
			conn, reader := w.dialSlowly(t, pause)
			must.True(t, send(conn, strings.Replace(requestText("POST", "/unsafe/a", "1", "x"), "Key: k\r\n", "Key: k\r\n"+c.field, 1)))
			w.logs.await(t, "event=2040", "status=200")
			drained := make(chan struct{})
			if c.drain {
				ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
				defer cancel()
				drainInBackground(ctx, w, drained)
			}
			got := readAnswer(reader)
			must.NoError(t, got.err)
			must.Eq(t, unreadSize, len(got.body))
			must.NoError(t, conn.Close())
			if c.drain {
				<-drained
			}
		})
	}
}

// TestStopWaitsForUnreadAnswer guards against the end of a server that holds a part of an answer.
func TestStopWaitsForUnreadAnswer(t *testing.T) {
	set := testRules()
	setTimeouts(set, time.Minute)
	w := startServer(t, set, newEndpoint(t, answerLarge))
	conn, reader := w.dialSlowly(t, drainPause)
	must.True(t, send(conn, requestText("POST", "/unsafe/a", "1", "x")))
	w.logs.await(t, "event=2040", "status=200")
	stopped := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	go func() {
		w.server.Drain(ctx)
		w.stop()
		close(stopped)
	}()
	got := readAnswer(reader)
	must.NoError(t, got.err)
	must.Eq(t, unreadSize, len(got.body))
	must.NoError(t, conn.Close())
	<-stopped
}

// answerLargeInParts sends most of a large answer at once and its end only after the caller's pause, so that the answer is still
// being forwarded meanwhile.
func answerLargeInParts(conn net.Conn, _ int, request *http.Request) bool {
	whole := wholeAnswer(request, strings.Repeat("u", unreadSize))
	if !send(conn, whole[:len(whole)-1]) {
		return false
	}
	time.Sleep(callerPause + time.Second)
	return send(conn, whole[len(whole)-1:])
}

// TestCallerMayPause guards against the loss of an answer whose caller reads nothing of it for some seconds (LOST).
func TestCallerMayPause(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		respond  responder
		awaitLog []string
	}{
		{"the endpoint has sent all of it", answerLarge, []string{"event=2040", "status=200"}},
		{"the endpoint is still sending it", answerLargeInParts, []string{"event=2046"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			set := testRules()
			setTimeouts(set, time.Minute)
			w := startServer(t, set, newEndpoint(t, c.respond))
			conn, _ := w.dial(t)
			must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(slowBuffer))
			must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			must.True(t, send(conn, requestText("POST", "/unsafe/a", "1", "x")))
			w.logs.await(t, c.awaitLog...)
			time.Sleep(callerPause)
			got := readAnswer(bufio.NewReader(conn))
			must.NoError(t, got.err)
			must.Eq(t, unreadSize, len(got.body))
		})
	}
}
