package peer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/timer"
)

// relay forwards connections to a target and can silence those that are open.
type relay struct {
	listener net.Listener
	target   string
	accepted atomic.Int64
	mu       sync.Mutex
	silent   []*atomic.Bool
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			r.carry(conn)
		}
	}()
	return r
}

func (r *relay) carry(conn net.Conn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	silent := &atomic.Bool{}
	r.mu.Lock()
	r.silent = append(r.silent, silent)
	r.mu.Unlock()
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(writer{pair[1], silent}, pair[0])
			_ = pair[1].Close()
		}()
	}
}

// silence drops from now on whatever the open connections carry, and keeps them open.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, silent := range r.silent {
		silent.Store(true)
	}
}

type writer struct {
	to     net.Conn
	silent *atomic.Bool
}

func (w writer) Write(data []byte) (int, error) {
	if w.silent.Load() {
		return len(data), nil
	}
	return w.to.Write(data)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	var calls atomic.Int64
	peer.Handle(b, "test.count", func(context.Context, chicoryhall.DaemonID, greeting) (greeting, error) {
		calls.Add(1)
		return greeting{}, nil
	})
	between := startRelay(t, b.Address())
	a.Learn("b", between.listener.Addr().String())
	must.NoError(t, a.Call(context.Background(), "b", "test.count", greeting{}, nil))
	between.silence()
	must.NoError(t, a.Call(context.Background(), "b", "test.count", greeting{}, nil))
	must.Eq(t, 2, calls.Load())
	must.Eq(t, 2, between.accepted.Load())
}

func TestSlowHandlerKeepsItsConnection(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	var calls atomic.Int64
	peer.Handle(b, "test.slow", func(context.Context, chicoryhall.DaemonID, greeting) (greeting, error) {
		calls.Add(1)
		time.Sleep(700 * time.Millisecond)
		return greeting{Text: "done"}, nil
	})
	between := startRelay(t, b.Address())
	a.Learn("b", between.listener.Addr().String())
	out, err := peer.Call[greeting](context.Background(), a, "b", "test.slow", greeting{})
	must.NoError(t, err)
	must.Eq(t, "done", out.Text)
	must.Eq(t, 1, calls.Load())
	must.Eq(t, 1, between.accepted.Load())
}

func TestDisconnectIsTold(t *testing.T) {
	a := startNode(t, "a")
	clock := timer.New()
	b, err := peer.New(peer.Config{Self: "b", Listen: "127.0.0.1:0", Timer: clock})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Serve(ctx) }()
	peer.Handle(b, "test.greet", func(context.Context, chicoryhall.DaemonID, greeting) (greeting, error) {
		return greeting{}, nil
	})
	told := make(chan chicoryhall.DaemonID, 1)
	a.OnDisconnect(func(id chicoryhall.DaemonID) { told <- id })
	a.Learn("b", b.Address())
	must.NoError(t, a.Call(context.Background(), "b", "test.greet", greeting{}, nil))
	cancel()
	<-done
	must.Eq(t, "b", <-told)
	err = a.Call(context.Background(), "b", "test.greet", greeting{}, nil)
	must.ErrorContains(t, err, "connection refused")
}

func TestBytesAreCountedForEachMethod(t *testing.T) {
	clock := timer.New()
	set := metrics.NewSet()
	a, err := peer.New(peer.Config{Self: "a", Listen: "127.0.0.1:0", Timer: clock, Metrics: set})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- clock.Serve(ctx) }()
	go func() { done <- a.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	b := startNode(t, "b")
	for _, node := range []*peer.Node{a, b} {
		peer.Handle(node, "test.greet", func(context.Context, chicoryhall.DaemonID, greeting) (greeting, error) {
			return greeting{}, nil
		})
	}
	a.Learn("b", b.Address())
	must.NoError(t, a.Call(context.Background(), "b", "test.greet", greeting{Text: "hello"}, nil))
	var out bytes.Buffer
	set.WritePrometheus(&out)
	must.StrContains(t, out.String(), `chicoryhall_peer_messages_total{direction="out",method="test.greet"} 1`)
	must.StrContains(t, out.String(), `chicoryhall_peer_messages_total{direction="in",method="test.greet"} 1`)
	must.StrContains(t, out.String(), `chicoryhall_peer_bytes_total{direction="out",method="test.greet"}`)
}
