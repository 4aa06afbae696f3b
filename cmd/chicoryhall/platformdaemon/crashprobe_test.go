package platformdaemon

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// TestProbeTellsCrashedEndpoints probes addresses at which something listens, nothing does, or connections are reset or
// closed at once.
func TestProbeTellsCrashedEndpoints(t *testing.T) {
	cases := []struct {
		name   string
		handle func(net.Conn)
		closed bool
		want   crashProbe
	}{
		{"listens", func(net.Conn) {}, false, probeAlive},
		{"does not listen", nil, true, probeGone},
		{"closes connections", func(conn net.Conn) { _ = conn.Close() }, false, probeGone},
		{"resets connections", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, false, probeGone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			var accepting errgroup.Group
			accepting.Go(func() error {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return err
					}
					c.handle(conn)
				}
			})
			if c.closed {
				must.NoError(t, listener.Close())
			}
			must.Eq(t, c.want, newEndpointProbe(nil)(context.Background(), listener.Addr().String()))
			_ = listener.Close()
			must.ErrorIs(t, accepting.Wait(), net.ErrClosed)
		})
	}
}
