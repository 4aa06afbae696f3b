package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/dial"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/shutdown"
)

// dialTimeout is the maximum time for establishing the connection to the target.
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

// Decision says how a piece of data, which is what one read of a connection returned, is relayed. The zero value closes
// the pair without relaying any of it; start from RelayAll.
type Decision struct {
	// Delay is the time by which the piece is delayed.
	Delay time.Duration
	// Discard discards the piece. The other fields then have no effect.
	Discard bool
	// CloseAfter is the number of bytes of the piece to relay before the pair is closed. If it is negative, all are
	// relayed and the pair stays open.
	CloseAfter int
}

// RelayAll is the Decision that relays the whole piece without delay and keeps the pair open.
var RelayAll = Decision{CloseAfter: -1}

// Shaper decides how the data of one pair is relayed.
type Shaper interface {
	// Shape is called for each received piece, before it is relayed, with its size in bytes. The calls for one
	// direction are in the order of the data. Those for the two directions may come from different goroutines and
	// overlap.
	Shape(direction Direction, size int, now time.Time) Decision
}

// Relay copies data between pairs of connections.
type Relay struct {
	timer  chicoryhall.Timer
	nbio   *nbio.Engine
	dialer *dial.Dialer

	mu    sync.Mutex
	pairs map[*Pair]bool
}

// New returns a Relay. Start makes it copy data.
func New(timer chicoryhall.Timer) *Relay {
	r := &Relay{timer: timer, nbio: nbio.NewEngine(nbio.Config{Network: "tcp"}), pairs: map[*Pair]bool{}}
	r.dialer = dial.New(r.nbio, dialTimeout)
	r.nbio.OnData(func(c *nbio.Conn, data []byte) {
		if e, ok := c.Session().(*end); ok {
			e.handleData(data)
		}
	})
	r.nbio.OnClose(func(c *nbio.Conn, _ error) {
		if e, ok := c.Session().(*end); ok {
			e.pair.handleClosed(e)
		}
	})
	r.nbio.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if e, ok := c.Session().(*end); ok {
			e.handleWritten(n)
		}
	})
	return r
}

// Start starts the nbio engine that copies the data.
func (r *Relay) Start() error {
	return errors.Wrap(r.nbio.Start(), "start the nbio engine of the relay")
}

// Stop closes all pairs.
func (r *Relay) Stop() {
	r.dialer.Stop()
	shutdown.Engine(r.nbio)
}

// AcceptLoop accepts connections and calls handle for each, one at a time, until ctx is done or the listener is closed.
// It closes the listener when ctx is done. Any other failure to accept a connection ends it with an error.
func AcceptLoop(ctx context.Context, listener net.Listener, handle func(net.Conn)) error {
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
		handle(c)
	}
}

// Connect starts to dial the target for an accepted connection and to copy data between the two. It returns before the
// target is reached; if it cannot be reached, the pair is closed. The shaper and onClose, which is called once when the
// pair is closed, may be nil. If Connect returns an error, the pair is closed as well.
func (r *Relay) Connect(accepted net.Conn, target string, shaper Shaper, onClose func(*Pair)) (*Pair, error) {
	p, err := r.NewPair(accepted, shaper, onClose)
	if err != nil {
		return nil, err
	}
	return p, p.Start(target)
}

// NewPair returns the pair of an accepted connection, of which no data is copied before Start. It closes the connection
// if it returns an error.
func (r *Relay) NewPair(accepted net.Conn, shaper Shaper, onClose func(*Pair)) (*Pair, error) {
	inner, err := nbio.NBConn(accepted)
	if err != nil {
		_ = accepted.Close()
		return nil, errors.Wrapf(err, "convert the connection of %s for nbio", accepted.RemoteAddr())
	}
	p := &Pair{relay: r, shaper: shaper, onClose: onClose}
	p.accepted = &end{pair: p, direction: ToTarget, conn: inner}
	p.target = &end{pair: p, direction: FromTarget}
	inner.SetSession(p.accepted)
	r.mu.Lock()
	r.pairs[p] = true
	r.mu.Unlock()
	return p, nil
}

// Pairs returns the pairs that are not closed, also those whose target is not reached yet.
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
