package platformdaemon

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/passthrough"
	"chicoryhall.example/chicoryhall/timer"
)

// TestProbesAreShared probes a route twice at the same time: one of its endpoints listens, the other does not.
func TestProbesAreShared(t *testing.T) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	var connections atomic.Int64
	var accepting errgroup.Group
	accepting.Go(func() error {
		for {
			conn, err := listening.Accept()
			if err != nil {
				return err
			}
			connections.Add(1)
			defer func() { _ = conn.Close() }()
		}
	})
	hops := []chicoryhall.Hop{
		{Engine: "listening", Address: listening.Addr().String()}, {Engine: "closed", Address: closed.Addr().String()},
	}
	p := newProber(timer.New())
	results := make(chan passthrough.ProbeResult, 2)
	for range 2 {
		p.Probe(hops, func(result passthrough.ProbeResult) { results <- result })
	}
	for range 2 {
		must.Eq(t, passthrough.ProbeResult{Refused: []chicoryhall.EndpointID{"closed"}}, <-results)
	}
	must.Eq(t, 1, connections.Load())
	must.NoError(t, p.probes.Wait())
	must.NoError(t, listening.Close())
	must.ErrorIs(t, accepting.Wait(), net.ErrClosed)
}
