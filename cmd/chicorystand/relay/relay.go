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

// dialTimeout bounds the opening of the connection to the target.
const dialTimeout = 2 * time.Second

// Direction tells which way bytes go.
type Direction int

// The directions.
const (
	// ToTarget is from the one who connected to the target.
	ToTarget Direction = iota
	// FromTarget is from the target back.
	FromTarget
)

// Verdict tells what becomes of some bytes.
type Verdict struct {
	// Delay is the time for which they are kept back.
	Delay time.Duration
	// Swallow drops them, silently and for good.
	Swallow bool
	// Pass is the number of bytes that go on before the pair is closed; negative passes all.
	Pass int
}

// PassAll is the Verdict of a healthy link.
var PassAll = Verdict{Pass: -1}

// Shaper decides on the bytes of one pair.
type Shaper interface {
	// Shape is asked for each piece, in order.
	Shape(direction Direction, bytes int, now time.Time) Verdict
}

// Relay copies between pairs of connections.
type Relay struct {
	timer  chicoryhall.Timer
	engine *nbio.Engine

	mu    sync.Mutex
	pairs map[*Pair]bool
}

// New returns a Relay that copies once Start is called.
func New(timer chicoryhall.Timer) *Relay {
	r := &Relay{timer: timer, engine: nbio.NewEngine(nbio.Config{Network: "tcp"}), pairs: map[*Pair]bool{}}
	r.engine.OnData(func(c *nbio.Conn, data []byte) {
		if end, known := c.Session().(*end); known {
			end.received(data)
		}
	})
	r.engine.OnClose(func(c *nbio.Conn, _ error) {
		if end, known := c.Session().(*end); known {
			end.pair.ended(end)
		}
	})
	r.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if end, known := c.Session().(*end); known {
			end.written(n)
		}
	})
	return r
}

// Start begins to copy.
func (r *Relay) Start() error {
	return errors.Wrap(r.engine.Start(), "start the relay")
}

// Stop closes all pairs.
func (r *Relay) Stop() { r.engine.Stop() }

// Listen accepts connections on an address until ctx ends or the listener is closed.
func Listen(ctx context.Context, listener net.Listener, accept func(net.Conn)) error {
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

// Join dials the target for an accepted connection and copies between the two. The shaper and
// onClose, which is called once when the pair is closed, may be nil.
func (r *Relay) Join(accepted net.Conn, target string, shaper Shaper, onClose func(*Pair)) (*Pair, error) {
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
	err = r.engine.DialAsyncTimeout("tcp", target, dialTimeout, p.dialled)
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

func (r *Relay) forget(p *Pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}
