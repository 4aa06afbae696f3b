package dial

import (
	"context"
	"net"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sync/errgroup"
)

// Dialer opens connections for one event loop.
type Dialer struct {
	loop    *nbio.Engine
	timeout time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	dials   errgroup.Group
}

// New returns a Dialer that gives up after the timeout.
func New(loop *nbio.Engine, timeout time.Duration) *Dialer {
	d := &Dialer{loop: loop, timeout: timeout}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start starts to dial an address. It calls done from another goroutine, with the connection once the event loop handles it
// with the given session, or with an error.
func (d *Dialer) Start(address string, session any, done func(*nbio.Conn, error)) {
	d.dials.Go(func() error {
		done(d.dial(address, session))
		return nil
	})
}

func (d *Dialer) dial(address string, session any) (*nbio.Conn, error) {
	ctx, cancel := context.WithTimeout(d.ctx, d.timeout)
	defer cancel()
	dialed, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn, err := nbio.NBConn(dialed)
	if err != nil {
		_ = dialed.Close()
		return nil, err
	}
	conn.SetSession(session)
	if _, err := d.loop.AddConn(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Stop makes the dials in progress fail and waits for them. It has to be called before the event loop stops, and no dial may
// start after it.
func (d *Dialer) Stop() {
	d.cancel()
	_ = d.dials.Wait() // The functions return no errors.
}
