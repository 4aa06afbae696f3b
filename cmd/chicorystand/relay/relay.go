package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// dialTimeout bounds establishing the connection to the target.
const dialTimeout = 2 * time.Second

// Direction is the direction in which data flows.
type Direction int

// The directions.
const (
	// ToTarget is the direction from the accepted connection to the target.
	ToTarget Direction = iota
	// FromTarget is the direction from the target to the accepted connection.
	FromTarget
)

// Decision says how a piece of data is relayed.
type Decision struct {
	// Delay is the time by which the piece is delayed.
	Delay time.Duration
	// Discard discards the piece.
	Discard bool
	// CloseAfter is the number of bytes to relay before the pair is closed. If it is negative, all are relayed and the pair
	// stays open.
	CloseAfter int
}

// RelayAll is the Verdict that relays all data without delay.
var RelayAll = Decision{CloseAfter: -1}

// Shaper decides how the data of one pair is relayed.
type Shaper interface {
	// Shape is called for each piece, in order.
	Shape(direction Direction, bytes int, now time.Time) Decision
}

// Relay copies data between pairs of connections.
type Relay struct {
	timer  chicoryhall.Timer
	engine *nbio.Engine

	mu    sync.Mutex
	pairs map[*Pair]bool
}

// New returns a Relay. Start makes it copy data.
func New(timer chicoryhall.Timer) *Relay {
	r := &Relay{timer: timer, engine: nbio.NewEngine(nbio.Config{Network: "tcp"}), pairs: map[*Pair]bool{}}
	r.engine.OnData(func(c *nbio.Conn, data []byte) {
		if end, known := c.Session().(*end); known {
			end.handleData(data)
		}
	})
	r.engine.OnClose(func(c *nbio.Conn, _ error) {
		if end, known := c.Session().(*end); known {
			end.pair.handleClosed(end)
		}
	})
	r.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if end, known := c.Session().(*end); known {
			end.handleWritten(n)
		}
	})
	return r
}

// Start starts copying data.
func (r *Relay) Start() error {
	return errors.Wrap(r.engine.Start(), "start the relay")
}

// Stop closes all pairs.
func (r *Relay) Stop() { r.engine.Stop() }

// AcceptLoop passes the listener's connections to accept until ctx is done or the listener is closed.
func AcceptLoop(ctx context.Context, listener net.Listener, accept func(net.Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "accept on %s", listener.Addr())
		}
		accept(c)
	}
}

// Connect dials the target for an accepted connection and starts to copy data between the two. The shaper and
// onClose, which is called once when the pair is closed, may be nil.
func (r *Relay) Connect(accepted net.Conn, target string, shaper Shaper, onClose func(*Pair)) (*Pair, error) {
	inner, err := nbio.NBConn(accepted)
	if err != nil {
		return nil, errors.Wrapf(err, "take over the connection of %s", accepted.RemoteAddr())
	}
	p := &Pair{relay: r, shaper: shaper, onClose: onClose}
	p.caller = &end{pair: p, direction: ToTarget, conn: inner}
	p.target = &end{pair: p, direction: FromTarget}
	inner.SetSession(p.caller)
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	if _, err := r.engine.AddConn(inner); err != nil {
		return nil, errors.Wrapf(err, "take over the connection of %s", accepted.RemoteAddr())
	}
	err = r.engine.DialAsyncTimeout("tcp", target, dialTimeout, p.handleDialled)
	if err != nil {
		p.Close()
		return nil, errors.Wrapf(err, "dial %s", target)
	}
	return p, nil
}

// Pairs returns the open pairs.
func (r *Relay) Pairs() []*Pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	pairs := make([]*Pair, 0, len(r.pairs))
	for p := range r.pairs {
		pairs = append(pairs, p)
	}
	return pairs
}

func (r *Relay) removePair(p *Pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}
