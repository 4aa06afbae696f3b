package tcp_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/tcp"
)

// maxWait bounds the wait for what a loop does.
const maxWait = 5 * time.Second

// recorder is a Handler that records what happens.
type recorder struct {
	// onData is called with received bytes, unless it is nil.
	onData func(data []byte)

	mu      sync.Mutex
	data    []byte
	written int
	flushed int
	closed  []error
}

func (r *recorder) OnData(data []byte) {
	r.mu.Lock()
	r.data = append(r.data, data...)
	r.mu.Unlock()
	if r.onData != nil {
		r.onData(data)
	}
}

func (r *recorder) OnClose(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = append(r.closed, err)
}

func (r *recorder) OnWritten(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written += n
}

func (r *recorder) OnFlushed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed++
}

// received returns the number of received bytes.
func (r *recorder) received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// ends returns how the connection was closed, each time it was said to be.
func (r *recorder) ends() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.closed...)
}

// pair is a connection of a loop, and its peer.
type pair struct {
	conn     *tcp.Conn
	recorder *recorder
	peer     *net.TCPConn
}

// startLoop starts a loop that queues at most maxQueued bytes for a peer.
func startLoop(t *testing.T, maxQueued int) (*tcp.Loop, func() pair) {
	t.Helper()
	accepted := make(chan pair, 1)
	loop := tcp.NewLoop(tcp.Config{
		Addresses: []string{"127.0.0.1:0"}, ReadBuffer: 4096, MaxReads: 4, MaxQueued: maxQueued,
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Accepted: func(conn *tcp.Conn) tcp.Handler {
			r := &recorder{}
			accepted <- pair{conn: conn, recorder: r}
			return r
		},
	})
	must.NoError(t, loop.Start())
	t.Cleanup(loop.Stop)
	return loop, func() pair {
		peer, err := net.Dial("tcp", loop.Address(0))
		must.NoError(t, err)
		t.Cleanup(func() { _ = peer.Close() })
		must.NoError(t, peer.SetDeadline(time.Now().Add(2*maxWait)))
		p := <-accepted
		p.peer = peer.(*net.TCPConn)
		_, err = p.peer.Write([]byte("x"))
		must.NoError(t, err)
		await(t, "the connection is read", func() bool { return p.recorder.received() == 1 })
		p.recorder.mu.Lock()
		p.recorder.data = nil
		p.recorder.mu.Unlock()
		return p
	}
}

// await fails the test unless a condition is met within maxWait.
func await(t *testing.T, what string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", maxWait, what)
		}
	}
}

// TestEndIsToldOnce ends connections in different ways, and checks what their handlers are told.
func TestEndIsToldOnce(t *testing.T) {
	cases := []struct {
		name string
		end  func(p pair)
		// isOrderly is set if the peer closed the connection, isOwn if this end did.
		isOrderly, isOwn bool
	}{
		{"the peer closes", func(p pair) { _ = p.peer.Close() }, true, false},
		{"the peer sends no more", func(p pair) { _ = p.peer.CloseWrite() }, true, false},
		{"the peer resets", func(p pair) {
			_ = p.peer.SetLinger(0)
			_ = p.peer.Close()
		}, false, false},
		{"closed here, twice", func(p pair) {
			p.conn.Close()
			p.conn.Close()
		}, false, true},
		{"reset here", func(p pair) { p.conn.Reset() }, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, connect := startLoop(t, 1<<20)
			p := connect()
			c.end(p)
			await(t, "the handler is told", func() bool { return len(p.recorder.ends()) > 0 })
			time.Sleep(10 * time.Millisecond)
			ends := p.recorder.ends()
			must.Len(t, 1, ends)
			must.Eq(t, c.isOrderly, ends[0] == io.EOF)
			must.Eq(t, c.isOwn, ends[0] == nil)
			must.ErrorIs(t, p.conn.Write([]byte("x")), net.ErrClosed)
		})
	}
}

// TestDataBeforeEndIsRead checks that nothing of what a peer sent before it closed the connection is lost.
func TestDataBeforeEndIsRead(t *testing.T) {
	const size = 300_000
	_, connect := startLoop(t, 1<<20)
	p := connect()
	_, err := p.peer.Write(make([]byte, size))
	must.NoError(t, err)
	must.NoError(t, p.peer.Close())
	await(t, "the end", func() bool { return len(p.recorder.ends()) > 0 })
	must.Eq(t, size, p.recorder.received())
}

// TestQueuedBytesArrive writes more than the kernel takes to a peer that reads late.
func TestQueuedBytesArrive(t *testing.T) {
	const size, pieces = 200_000, 100
	loop, connect := startLoop(t, 2*size*pieces)
	p := connect()
	for i := range pieces {
		piece := make([]byte, size)
		piece[0] = byte(i)
		must.NoError(t, p.conn.Write(piece))
	}
	must.Positive(t, loop.Queued())
	for i := range pieces {
		piece := make([]byte, size)
		_, err := io.ReadFull(p.peer, piece)
		must.NoError(t, err)
		must.Eq(t, byte(i), piece[0])
	}
	// The loop counts bytes once the kernel has taken them, when the peer may have read them already.
	await(t, "no byte is counted as queued", func() bool { return loop.Queued() == 0 })
	p.recorder.mu.Lock()
	defer p.recorder.mu.Unlock()
	must.Eq(t, size*pieces, p.recorder.written)
	must.Positive(t, p.recorder.flushed)
}

// TestFullQueueEndsConnection guards against a peer that reads nothing and for which ever more is held.
func TestFullQueueEndsConnection(t *testing.T) {
	const limit = 1 << 20
	loop, connect := startLoop(t, limit)
	p := connect()
	piece := make([]byte, limit/2)
	for p.conn.Write(piece) == nil {
		must.LessEq(t, limit, loop.Queued())
	}
	await(t, "the end", func() bool { return len(p.recorder.ends()) == 1 })
	must.Eq(t, 0, loop.Queued())
}

// TestPausedConnectionIsNotRead pauses a connection, and checks that it goes on, and that its end shows.
func TestPausedConnectionIsNotRead(t *testing.T) {
	cases := []struct {
		name string
		end  func(p pair)
		// isSeen is set if the end shows also while the connection is paused with pause.
		isSeen bool
		pause  func(*tcp.Conn)
	}{
		{"the peer stays", func(pair) {}, false, (*tcp.Conn).Pause},
		{"the peer closes", func(p pair) { _ = p.peer.Close() }, false, (*tcp.Conn).Pause},
		{"the peer resets", func(p pair) {
			_ = p.peer.SetLinger(0)
			_ = p.peer.Close()
		}, true, (*tcp.Conn).Pause},
		{"the peer stays, and its end is awaited", func(pair) {}, false, (*tcp.Conn).PauseUntilEnd},
		{"the peer closes, and its end is awaited", func(p pair) { _ = p.peer.Close() }, true, (*tcp.Conn).PauseUntilEnd},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, connect := startLoop(t, 1<<20)
			p := connect()
			c.pause(p.conn)
			_, err := p.peer.Write([]byte("later"))
			must.NoError(t, err)
			c.end(p)
			time.Sleep(50 * time.Millisecond)
			if c.isSeen {
				must.Len(t, 1, p.recorder.ends())
				return
			}
			must.Eq(t, 0, p.recorder.received())
			must.Len(t, 0, p.recorder.ends())
			p.conn.Resume()
			await(t, "the rest", func() bool { return p.recorder.received() == len("later") })
		})
	}
}

// TestStopTellsAllHandlers stops a loop with open connections.
func TestStopTellsAllHandlers(t *testing.T) {
	loop, connect := startLoop(t, 1<<20)
	pairs := []pair{connect(), connect(), connect()}
	loop.Stop()
	for _, p := range pairs {
		must.Len(t, 1, p.recorder.ends())
		_, err := p.peer.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer other.Close()
	late, err := net.Dial("tcp", other.Addr().String())
	must.NoError(t, err)
	_, err = loop.Add(late, func(*tcp.Conn) tcp.Handler { return &recorder{} })
	must.ErrorIs(t, err, tcp.ErrStopped)
}

// TestStartAgainAfterFailure guards against addresses that are mixed up after the first start failed, as one of them was in use.
func TestStartAgainAfterFailure(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	second := taken.Addr().String()
	loop := tcp.NewLoop(tcp.Config{
		Addresses: []string{"127.0.0.1:0", second}, ReadBuffer: 4096, MaxReads: 4,
		Listen:   func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Accepted: func(*tcp.Conn) tcp.Handler { return &recorder{} },
	})
	must.Error(t, loop.Start())
	must.NoError(t, taken.Close())
	must.NoError(t, loop.Start())
	defer loop.Stop()
	must.Eq(t, second, loop.Address(1))
}
