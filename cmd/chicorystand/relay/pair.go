package relay

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

// finishPeriod is the time between two looks at the pieces that wait.
const finishPeriod = 5 * time.Millisecond

// Pair is two connections whose bytes are copied to one another.
type Pair struct {
	relay  *Relay
	shaper Shaper
	// onClose is called once, when the pair is closed.
	onClose func(*Pair)

	mu     sync.Mutex
	caller *end
	target *end
	closed bool
	silent bool
}

// end is one connection of a pair; what it receives goes on in its direction.
type end struct {
	pair      *Pair
	direction Direction
	conn      *nbio.Conn
	// unsent waits for the connection to open.
	unsent []byte
	// queued counts the bytes given to the connection that it has not written.
	queued atomic.Int64
	// closing ends the pair once all was written.
	closing atomic.Bool
	// delayed are the pieces kept back, in order; release is when the last is due.
	delayed [][]byte
	release time.Time
}

// Silence swallows all further bytes; the connections stay open.
func (p *Pair) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// Closed reports whether the pair has ended.
func (p *Pair) Closed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Close ends both connections at once.
func (p *Pair) Close() {
	p.mu.Lock()
	was := p.closed
	p.closed = true
	caller, target := p.caller.conn, p.target.conn
	p.mu.Unlock()
	if was {
		return
	}
	if caller != nil {
		_ = caller.Close()
	}
	if target != nil {
		_ = target.Close()
	}
	p.relay.forget(p)
	if p.onClose != nil {
		p.onClose(p)
	}
}

// dialled takes the connection to the target.
func (p *Pair) dialled(c *nbio.Conn, err error) {
	if err != nil {
		p.Close()
		return
	}
	// nbio's asynchronous dial leaves Nagle's algorithm on, which holds pieces back.
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

// received passes a piece on as the shaper says.
func (e *end) received(data []byte) {
	p := e.pair
	now := p.relay.timer.Now()
	verdict := PassAll
	if p.shaper != nil {
		verdict = p.shaper.Shape(e.direction, len(data), now)
	}
	p.mu.Lock()
	silent := p.silent || verdict.Swallow
	p.mu.Unlock()
	if silent {
		return
	}
	cut := verdict.Pass >= 0
	if cut {
		data = data[:min(verdict.Pass, len(data))]
	}
	to := p.other(e)
	to.later(bytes.Clone(data), verdict.Delay, now)
	if cut {
		to.finish()
		e.finish()
	}
}

// later sends a piece after the delay and never before an earlier one.
func (e *end) later(data []byte, delay time.Duration, now time.Time) {
	p := e.pair
	p.mu.Lock()
	defer p.mu.Unlock()
	due := now.Add(delay)
	if due.Before(e.release) {
		due = e.release
	}
	if len(e.delayed) == 0 && !due.After(now) {
		e.send(data)
		return
	}
	e.release = due
	e.delayed = append(e.delayed, data)
	p.relay.timer.After(due.Sub(now), func(time.Time) { e.sendFirst() })
}

// sendFirst sends the first delayed piece. Each call is for one piece but not for a certain one:
// calls that are due almost together may come in another order than their pieces.
func (e *end) sendFirst() {
	e.pair.mu.Lock()
	defer e.pair.mu.Unlock()
	first := e.delayed[0]
	e.delayed = e.delayed[1:]
	e.send(first)
}

// send writes a piece or keeps it until the connection is open; the pair is locked.
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

// written counts what the connection wrote; it runs inside the connection's lock.
func (e *end) written(n int) {
	if e.queued.Add(int64(-n)) <= 0 && e.closing.Load() {
		e.pair.relay.timer.After(0, func(time.Time) { e.pair.Close() })
	}
}

// ended closes the other connection once all that goes to it was written.
func (p *Pair) ended(e *end) {
	p.mu.Lock()
	closed, silent := p.closed, p.silent
	p.mu.Unlock()
	if closed || silent {
		return
	}
	p.other(e).finish()
}

// finish closes the pair once the delayed pieces for this end were written.
func (e *end) finish() {
	p := e.pair
	p.mu.Lock()
	waits := len(e.delayed) > 0 || len(e.unsent) > 0
	p.mu.Unlock()
	if waits {
		p.relay.timer.After(finishPeriod, func(time.Time) { e.finish() })
		return
	}
	e.closing.Store(true)
	if e.queued.Load() <= 0 {
		p.Close()
	}
}
