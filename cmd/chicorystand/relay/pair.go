package relay

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// flushPollPeriod is the time between two checks whether data for a connection is still held back, that is, not passed
// to nbio: because it is delayed, or because the connection is not established yet. Polling covers both cases. When
// nbio has written the data, it reports that to handleWritten.
const flushPollPeriod = 5 * time.Millisecond

// Pair is a pair of connections between which data is copied.
type Pair struct {
	relay  *Relay
	shaper Shaper
	// onClose is called once, when the pair is closed. It may be nil.
	onClose func(*Pair)

	// mu also guards conn, unsent, delayed and lastDue of both ends.
	mu       sync.Mutex
	accepted *end
	target   *end
	// started is set once the accepted connection belongs to nbio, which has to close it then.
	started bool
	closed  bool
	silent  bool
}

// end is one connection of a pair. Data received on it is sent on the other one. The fields unsent, queued, delayed and
// lastDue concern the data to be sent on this connection. A piece is the data that one read of a connection returned.
type end struct {
	pair      *Pair
	direction Direction // of the data received on this connection
	conn      *nbio.Conn
	// unsent is data that waits for the connection to be established.
	unsent []byte
	// queued is the number of bytes passed to the connection and not written yet.
	queued atomic.Int64
	// closing is set if the pair has to be closed once all data for this connection has been written.
	closing atomic.Bool
	// delayed are the delayed pieces for this connection, in order. lastDue is the time when the last one is to be
	// sent.
	delayed [][]byte
	lastDue time.Time
}

// Start dials the target and starts to copy data. If it fails, or the pair has been closed before, the pair is closed.
func (p *Pair) Start(target string) error {
	accepted := p.accepted.conn
	if _, err := p.relay.nbio.AddConn(accepted); err != nil {
		p.Close()
		return errors.Wrapf(err, "add the connection of %s to nbio", accepted.RemoteAddr())
	}
	p.mu.Lock()
	p.started = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		_ = accepted.Close()
		return nil
	}
	p.relay.dialer.Start(target, p.target, p.handleDialed)
	return nil
}

// Silence discards all further data, also the data that is delayed. Only data that waits for the target to be reached
// is still sent to it. Both connections stay open, even if one peer closes its own, as if packets were lost on the way.
func (p *Pair) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// IsClosed reports whether the pair is closed.
func (p *Pair) IsClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Close closes both connections immediately. Delayed data is not sent.
func (p *Pair) Close() {
	p.mu.Lock()
	alreadyClosed := p.closed
	p.closed = true
	accepted, target, started := p.accepted.conn, p.target.conn, p.started
	p.mu.Unlock()
	if alreadyClosed {
		return
	}
	if started { // Otherwise Start closes it.
		_ = accepted.Close()
	}
	if target != nil {
		_ = target.Close()
	}
	p.relay.removePair(p)
	if p.onClose != nil {
		p.onClose(p)
	}
}

// handleDialed uses the connection to the target, or closes the pair if dialing failed.
func (p *Pair) handleDialed(c *nbio.Conn, err error) {
	if err != nil {
		p.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target.conn = c
	if p.closed {
		_ = c.Close()
		return
	}
	p.target.write(p.target.unsent)
	p.target.unsent = nil
}

func (p *Pair) other(e *end) *end {
	if e == p.accepted {
		return p.target
	}
	return p.accepted
}

// handleData relays a received piece as decided by the shaper.
func (e *end) handleData(data []byte) {
	p := e.pair
	now := p.relay.timer.Now()
	decision := RelayAll
	if p.shaper != nil {
		decision = p.shaper.Shape(e.direction, len(data), now)
	}
	p.mu.Lock()
	discard := p.silent || decision.Discard
	p.mu.Unlock()
	if discard {
		return
	}
	closePair := decision.CloseAfter >= 0
	if closePair {
		data = data[:min(decision.CloseAfter, len(data))]
	}
	to := p.other(e)
	to.sendAfter(bytes.Clone(data), decision.Delay, now)
	if closePair {
		// The pair is closed as soon as one of the two ends has nothing left to write, which can be before the data for
		// the other end has been written.
		to.closeWhenFlushed()
		e.closeWhenFlushed()
	}
}

// sendAfter sends a piece after the delay, but never before an earlier piece.
func (e *end) sendAfter(data []byte, delay time.Duration, now time.Time) {
	p := e.pair
	p.mu.Lock()
	defer p.mu.Unlock()
	due := now.Add(delay)
	if due.Before(e.lastDue) {
		due = e.lastDue
	}
	if len(e.delayed) == 0 && !due.After(now) {
		e.send(data)
		return
	}
	e.lastDue = due
	e.delayed = append(e.delayed, data)
	p.relay.timer.After(due.Sub(now), func(time.Time) { e.sendFirst() })
}

// sendFirst sends the first delayed piece. sendAfter schedules one call for each piece. Calls that are due at almost
// the same time may come in any order, so each sends whichever piece is first by then, which keeps the pieces in order.
func (e *end) sendFirst() {
	e.pair.mu.Lock()
	defer e.pair.mu.Unlock()
	first := e.delayed[0]
	e.delayed = e.delayed[1:]
	e.send(first)
}

// send writes a piece, keeps it until the connection is established, or discards it if the pair has been silenced. The
// caller holds pair.mu.
func (e *end) send(data []byte) {
	switch {
	case e.pair.silent:
	case e.conn == nil:
		e.unsent = append(e.unsent, data...)
	default:
		e.write(data)
	}
}

// write writes data to the connection. If that fails, nbio closes the connection and reports it.
func (e *end) write(data []byte) {
	if len(data) == 0 {
		return
	}
	e.queued.Add(int64(len(data)))
	_, _ = e.conn.Write(data)
}

// handleWritten counts the bytes that the connection wrote. nbio calls it while it holds the connection's lock, so the
// pair is closed in another goroutine.
func (e *end) handleWritten(n int) {
	if e.queued.Add(int64(-n)) <= 0 && e.closing.Load() {
		e.pair.relay.timer.After(0, func(time.Time) { e.pair.Close() })
	}
}

// handleClosed is called after one connection of the pair was closed. It closes the pair once all data for the other
// one has been written, unless the pair has been silenced.
func (p *Pair) handleClosed(e *end) {
	p.mu.Lock()
	closed, silent := p.closed, p.silent
	p.mu.Unlock()
	if closed || silent {
		return
	}
	p.other(e).closeWhenFlushed()
}

// closeWhenFlushed arranges that the pair is closed once all data for this connection has been written. It returns
// immediately and is called again by the timer while data is held back.
func (e *end) closeWhenFlushed() {
	p := e.pair
	p.mu.Lock()
	pending := len(e.delayed) > 0 || len(e.unsent) > 0
	p.mu.Unlock()
	if pending {
		p.relay.timer.After(flushPollPeriod, func(time.Time) { e.closeWhenFlushed() })
		return
	}
	e.closing.Store(true)
	if e.queued.Load() <= 0 {
		p.Close()
	}
}
