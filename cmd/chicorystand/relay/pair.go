package relay

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// finishPollPeriod is the time between two checks whether all delayed data has been sent.
const finishPollPeriod = 5 * time.Millisecond

// Pair is a pair of connections between which data is copied.
type Pair struct {
	relay  *Relay
	shaper Shaper
	// onClose is called once, when the pair is closed. It may be nil.
	onClose func(*Pair)

	mu     sync.Mutex
	caller *end
	target *end
	closed bool
	silent bool
}

// end is one connection of a pair. Data received on it is sent on the other one.
type end struct {
	pair      *Pair
	direction Direction // of the data received on this connection
	conn      *nbio.Conn
	// unsent is data that waits for the connection to be established.
	unsent []byte
	// queued is the number of bytes passed to the connection and not written yet.
	queued atomic.Int64
	// closing is set if the pair has to be closed once all data has been written.
	closing atomic.Bool
	// delayed are the delayed pieces, in order. lastDue is the time when the last one is to be sent.
	delayed [][]byte
	lastDue time.Time
}

// Silence discards all further data. The connections stay open.
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

// Close closes both connections immediately.
func (p *Pair) Close() {
	p.mu.Lock()
	alreadyClosed := p.closed
	p.closed = true
	caller, target := p.caller.conn, p.target.conn
	p.mu.Unlock()
	if alreadyClosed {
		return
	}
	if caller != nil {
		_ = caller.Close()
	}
	if target != nil {
		_ = target.Close()
	}
	p.relay.removePair(p)
	if p.onClose != nil {
		p.onClose(p)
	}
}

// handleDialled takes over the connection to the target.
func (p *Pair) handleDialled(c *nbio.Conn, err error) {
	if err != nil {
		p.Close()
		return
	}
	// nbio's asynchronous dial leaves Nagle's algorithm enabled, which delays small pieces.
	_ = c.SetNoDelay(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target.conn = c
	c.SetSession(p.target)
	if p.closed {
		_ = c.Close()
		return
	}
	p.target.write(p.target.unsent)
	p.target.unsent = nil
}

func (p *Pair) other(e *end) *end {
	if e == p.caller {
		return p.target
	}
	return p.caller
}

// handleData relays a received piece as decided by the shaper.
func (e *end) handleData(data []byte) {
	p := e.pair
	now := p.relay.timer.Now()
	verdict := RelayAll
	if p.shaper != nil {
		verdict = p.shaper.Shape(e.direction, len(data), now)
	}
	p.mu.Lock()
	silent := p.silent || verdict.Discard
	p.mu.Unlock()
	if silent {
		return
	}
	cut := verdict.CloseAfter >= 0
	if cut {
		data = data[:min(verdict.CloseAfter, len(data))]
	}
	to := p.other(e)
	to.sendAfter(bytes.Clone(data), verdict.Delay, now)
	if cut {
		to.finish()
		e.finish()
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

// sendFirst sends the first delayed piece. There is one call for each piece, but a call does not belong to a certain
// piece, as calls that are due at almost the same time may come in a different order than their pieces.
func (e *end) sendFirst() {
	e.pair.mu.Lock()
	defer e.pair.mu.Unlock()
	first := e.delayed[0]
	e.delayed = e.delayed[1:]
	e.send(first)
}

// send writes a piece, or keeps it until the connection is established. The caller holds pair.mu.
func (e *end) send(data []byte) {
	switch {
	case e.pair.silent:
	case e.conn == nil:
		e.unsent = append(e.unsent, data...)
	default:
		e.write(data)
	}
}

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

// handleClosed closes the pair after one of its connections was closed, once all data for the other one has been written.
func (p *Pair) handleClosed(e *end) {
	p.mu.Lock()
	closed, silent := p.closed, p.silent
	p.mu.Unlock()
	if closed || silent {
		return
	}
	p.other(e).finish()
}

// finish closes the pair once all data for this connection has been written.
func (e *end) finish() {
	p := e.pair
	p.mu.Lock()
	pending := len(e.delayed) > 0 || len(e.unsent) > 0
	p.mu.Unlock()
	if pending {
		p.relay.timer.After(finishPollPeriod, func(time.Time) { e.finish() })
		return
	}
	e.closing.Store(true)
	if e.queued.Load() <= 0 {
		p.Close()
	}
}
