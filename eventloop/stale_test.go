package eventloop_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/shoenig/test/must"
)

// together is how long the loop is held up, so that it gets the events of all connections at once.
const together = 100 * time.Millisecond

// TestEventOfClosedConnectionEndsNoOther guards against an event of a connection that was closed since, which the loop applies to the
// next connection with the same file descriptor: it reads a request there and closes it without an answer (LOST).
func TestEventOfClosedConnectionEndsNoOther(t *testing.T) {
	greeting := listen(t)
	accepted := make(chan *nbio.Conn, 3)
	var ended atomic.Pointer[nbio.Conn]
	var onRead atomic.Pointer[func(*nbio.Conn)]
	engine := nbio.NewEngine(nbio.Config{Name: t.Name(), Network: "tcp", Addrs: []string{"127.0.0.1:0"}, NPoller: 1})
	engine.OnOpen(func(conn *nbio.Conn) {
		if conn.Session() == nil {
			accepted <- conn
		}
	})
	engine.OnRead(func(conn *nbio.Conn) { (*onRead.Load())(conn) })
	engine.OnClose(func(conn *nbio.Conn, _ error) {
		if conn.Session() != nil {
			ended.Store(conn)
		}
	})
	must.NoError(t, engine.Start())
	defer engine.Stop()
	var peers []net.Conn
	var conns []*nbio.Conn
	for range 3 {
		peer, err := net.Dial("tcp", engine.Addrs[0])
		must.NoError(t, err)
		defer func() { _ = peer.Close() }()
		peers, conns = append(peers, peer), append(conns, <-accepted)
	}
	var reused *nbio.Conn
	done := make(chan struct{})
	var once sync.Once
	handle := func(conn *nbio.Conn) {
		_, _ = conn.Read(make([]byte, 64))
		switch conn {
		case conns[0]:
			time.Sleep(together)
		case conns[1]:
			once.Do(func() {
				descriptor := conns[2].Hash()
				_ = conns[2].Close()
				reused = addWithDescriptor(t, engine, greeting, descriptor)
				close(done)
			})
		}
	}
	onRead.Store(&handle)
	for _, peer := range peers {
		_, err := peer.Write([]byte("x"))
		must.NoError(t, err)
		time.Sleep(together / 10) // The first one holds up the loop by now, and gets the events of the others in their order.
	}
	must.NoError(t, peers[2].Close())
	<-done
	time.Sleep(2 * together)
	must.NotNil(t, reused, must.Sprint("no connection got the file descriptor"))
	must.True(t, ended.Load() != reused, must.Sprint("a connection whose peer is there was closed"))
}

// listen returns the address of a listener that accepts nothing, as that would take file descriptors; the system opens connections
// to it all the same.
func listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// addWithDescriptor adds connections to the engine until one has the given file descriptor, and returns that one, or nil. The
// engine duplicates descriptors, so that the first one does not get it.
func addWithDescriptor(t *testing.T, engine *nbio.Engine, address string, descriptor int) *nbio.Conn {
	t.Helper()
	var dialed []net.Conn
	for range 8 {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		dialed = append(dialed, conn)
	}
	for _, one := range dialed {
		conn, err := nbio.NBConn(one)
		must.NoError(t, err)
		conn.SetSession(one)
		_, err = engine.AddConn(conn)
		must.NoError(t, err)
		if conn.Hash() == descriptor {
			return conn
		}
	}
	return nil
}
