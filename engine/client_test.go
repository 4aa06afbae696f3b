package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/timer"
)

const testTimeout = 2 * time.Second

// scriptedEngine answers each request but a DELETE with the next of its scripts.
type scriptedEngine struct {
	address     string
	connections atomic.Int32
}

// script is the answer to one request. After it the connection is closed if close is set, or
// nothing more is sent if silent is set.
type script struct {
	pieces []string
	close  bool
	silent bool
}

func startScripted(t *testing.T, scripts ...script) *scriptedEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedEngine{address: listener.Addr().String()}
	var next atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn, scripts, &next)
		}
	}()
	return s
}

func (s *scriptedEngine) serve(conn net.Conn, scripts []script, next *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.Method == http.MethodDelete {
			fmt.Fprint(conn, "HTTP/1.1 204 No Content\r\n\r\n")
			continue
		}
		index := int(next.Add(1)) - 1
		if index >= len(scripts) {
			return
		}
		for _, piece := range scripts[index].pieces {
			_, _ = conn.Write([]byte(piece))
			time.Sleep(2 * time.Millisecond)
		}
		if scripts[index].silent {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if scripts[index].close {
			return
		}
	}
}

// collector is an AttemptHandler that records its calls.
type collector struct {
	sending chan struct{}
	events  chan engine.Event
	failed  chan *engine.Error
}

func newCollector() *collector {
	return &collector{sending: make(chan struct{}, 4), events: make(chan engine.Event, 64), failed: make(chan *engine.Error, 4)}
}

func (c *collector) OnSending() bool {
	c.sending <- struct{}{}
	return true
}

func (c *collector) OnEvents(events []engine.Event) {
	for _, event := range events {
		c.events <- event
	}
}

func (c *collector) OnFailure(failure *engine.Error) { c.failed <- failure }

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	clock := timer.New()
	client, err := engine.NewClient(clock)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- clock.Serve(ctx) }()
	go func() { ended <- client.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
	})
	return client
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"
	tokenLine  = `{"kind":"token","attempt":1,"position":0,"token":7}` + "\n"
	doneLine   = `{"kind":"done","attempt":1,"position":1}` + "\n"
)

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// TestStreamEnds covers the ways in which an attempt can end once a connection is open.
func TestStreamEnds(t *testing.T) {
	long := make([]byte, 70<<10)
	for i := range long {
		long[i] = 'x'
	}
	cases := []struct {
		name   string
		script script
		events int
		failed bool
		kind   engine.FailureKind
	}{
		{"complete", script{pieces: []string{streamHead, chunk(tokenLine), chunk(doneLine), "0\r\n\r\n"}}, 2, false, 0},
		{"in small pieces", script{pieces: []string{streamHead[:20], streamHead[20:], chunk(tokenLine[:9]), chunk(tokenLine[9:] + doneLine)[:5], chunk(tokenLine[9:] + doneLine)[5:], "0\r\n", "\r\n"}}, 2, false, 0},
		{"closed after the last event", script{pieces: []string{streamHead, chunk(tokenLine + doneLine)}, close: true}, 2, false, 0},
		{"closed at once", script{close: true}, 0, true, engine.FailureBroken},
		{"closed in mid-answer", script{pieces: []string{streamHead, chunk(tokenLine)}, close: true}, 1, true, engine.FailureBroken},
		{"ended without a last event", script{pieces: []string{streamHead, chunk(tokenLine), "0\r\n\r\n"}}, 1, true, engine.FailureBroken},
		{"status", script{pieces: []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}}, 0, true, engine.FailureStatus},
		{"not an event", script{pieces: []string{streamHead, chunk("{}x\n")}}, 0, true, engine.FailureMalformed},
		{"line without end", script{pieces: []string{streamHead, chunk(string(long))}}, 0, true, engine.FailureMalformed},
		{"not HTTP", script{pieces: []string{"hello\r\n\r\n"}, close: true}, 0, true, engine.FailureBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := startScripted(t, c.script)
			got := newCollector()
			newClient(t).OpenAttempt(server.address, &engine.StreamRequest{Stream: "s", Attempt: 1}, false, got)
			for range c.events {
				must.True(t, received(got.events), must.Sprint("an event is missing"))
			}
			if !c.failed {
				must.False(t, receivedSoon(got.failed))
				return
			}
			select {
			case failure := <-got.failed:
				must.Eq(t, c.kind, failure.Kind())
				must.True(t, failure.Sent())
				must.Eq(t, server.address, failure.Address())
				must.Eq(t, "stream s attempt 1", failure.Operation())
			case <-time.After(testTimeout):
				t.Fatal("no failure")
			}
			must.False(t, receivedSoon(got.failed))
		})
	}
}

func received[T any](from chan T) bool {
	select {
	case <-from:
		return true
	case <-time.After(testTimeout):
		return false
	}
}

func receivedSoon[T any](from chan T) bool {
	select {
	case <-from:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

// TestRefusedConnection checks that an address without a listener is told apart from all other
// failures.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	got := newCollector()
	newClient(t).OpenAttempt(address, &engine.StreamRequest{Stream: "s", Attempt: 1}, false, got)
	failure := <-got.failed
	must.Eq(t, engine.FailureRefused, failure.Kind())
	must.False(t, failure.Sent())
	must.False(t, receivedSoon(got.sending))
}

// TestReusesConnections checks that requests use one connection, and a probe a new one.
func TestReusesConnections(t *testing.T) {
	answer := script{pieces: []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}}
	server := startScripted(t, answer, answer, answer)
	client := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for range 2 {
		_, err := client.Load(ctx, server.address)
		must.NoError(t, err)
	}
	must.Eq(t, 1, server.connections.Load())
	must.NoError(t, client.Probe(ctx, server.address))
	must.Eq(t, 2, server.connections.Load())
}

// TestSilentCall checks that a call ends in time and reports that it may have been sent.
func TestSilentCall(t *testing.T) {
	server := startScripted(t, script{silent: true})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := newClient(t).Call(ctx, server.address, engine.Call{Request: "r", Operation: "hold"})
	var failure *engine.Error
	must.True(t, errors.As(err, &failure))
	must.Eq(t, engine.FailureSilent, failure.Kind())
	must.True(t, failure.Sent())
}

// TestAbandon checks that an abandoned attempt reports nothing more.
func TestAbandon(t *testing.T) {
	server := startScripted(t, script{pieces: []string{streamHead, chunk(tokenLine)}, silent: true})
	got := newCollector()
	attempt := newClient(t).OpenAttempt(server.address, &engine.StreamRequest{Stream: "s", Attempt: 1}, false, got)
	must.True(t, received(got.events))
	attempt.Abandon()
	must.False(t, receivedSoon(got.failed))
}
