package dial_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/dial"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/shutdown"
)

// TestOpenConnectionsOutliveTheDialTimeout opens many connections and waits for longer than the timeout of the dial.
func TestOpenConnectionsOutliveTheDialTimeout(t *testing.T) {
	const count = 300
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var opened, closed atomic.Int64
	loop := nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1})
	loop.OnClose(func(*nbio.Conn, error) { closed.Add(1) })
	must.NoError(t, loop.Start())
	dialer := dial.New(loop, 100*time.Millisecond)
	for range count {
		dialer.Start(listener.Addr().String(), nil, func(_ *nbio.Conn, err error) {
			if err == nil {
				opened.Add(1)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	must.Eq(t, count, opened.Load())
	must.Eq(t, 0, closed.Load())
	dialer.Stop()
	shutdown.Engine(loop)
}

func TestDialFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	loop := nbio.NewEngine(nbio.Config{Network: "tcp", NPoller: 1})
	must.NoError(t, loop.Start())
	dialer := dial.New(loop, time.Second)
	failed := make(chan error, 1)
	dialer.Start(address, nil, func(_ *nbio.Conn, err error) { failed <- err })
	must.Error(t, <-failed)
	dialer.Stop()
	shutdown.Engine(loop)
}
