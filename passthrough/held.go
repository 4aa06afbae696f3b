package passthrough

import (
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/memory"
)

const (
	// maxUnsentToBegin is how much of an answer may wait for its caller when the next request of the connection begins. The kernel's
	// buffer is full then, so a caller that reads does not wait for it.
	maxUnsentToBegin = 64 << 10
	// minProgress is the number of bytes that a caller has to send to count as making progress. Fewer would let one that sends a byte
	// now and then keep the memory of its request.
	minProgress = 4 << 10
)

// holdings is what a caller's connection holds. All but the atomic fields are only used in its mailbox.
type holdings struct {
	heads, bodies, readAhead int64
	// received counts bytes of the request that is read since the last progress.
	received int
	// total is the sum of what is held. unfinished is the size of the body that is read, or 0 if there is none.
	total, unfinished atomic.Int64
	// receiving is the number of bytes that the kernel held when the connection was last looked at, while it is not read.
	receiving atomic.Int64
	// isHeld is set while the socket is not read.
	isHeld atomic.Bool
	// hasExchange is set while a request is in progress, which began at begunAt in nanoseconds since the epoch. isReading is set from the
	// head of a request to its end.
	hasExchange, isReading atomic.Bool
	begunAt                atomic.Int64
	// progressedAt is when the caller last made progress, in nanoseconds since the epoch.
	progressedAt atomic.Int64
}

func (h *holdings) progressed(now time.Time) { h.progressedAt.Store(now.UnixNano()) }

func (h *holdings) lastProgress() time.Time { return time.Unix(0, h.progressedAt.Load()) }

// noteReceived records bytes of the caller's request.
func (conn *connection) noteReceived(n int) {
	if conn.reader.IsPaused() {
		return
	}
	if conn.holdings.received += n; conn.holdings.received >= minProgress {
		conn.holdings.received = 0
		conn.holdings.progressed(conn.server.config.Timer.Now())
	}
}

// recordHeld brings the account up to date.
func (conn *connection) recordHeld() {
	if conn.closed {
		return
	}
	heads, bodies, readAhead := int64(0), int64(conn.body.size), int64(0)
	if x := conn.current; x != nil {
		bodies += int64(len(x.body))
	}
	if conn.head != nil || conn.current != nil {
		heads = conn.headMemory
	}
	if conn.reader.IsPaused() {
		readAhead = int64(conn.reader.Held())
	} else {
		heads += int64(conn.reader.Held())
	}
	conn.holdings.hasExchange.Store(conn.current != nil)
	if conn.current != nil {
		conn.holdings.begunAt.Store(conn.current.startedAt.UnixNano())
	}
	conn.holdings.isReading.Store(conn.head != nil)
	conn.setHeld(heads, bodies, readAhead)
}

// setHeld records what the connection holds, by cause.
func (conn *connection) setHeld(heads, bodies, readAhead int64) {
	h, account := &conn.holdings, conn.server.account
	account.Add(memory.CauseHead, heads-h.heads)
	account.Add(memory.CauseBody, bodies-h.bodies)
	account.Add(memory.CauseReadAhead, readAhead-h.readAhead)
	h.heads, h.bodies, h.readAhead = heads, bodies, readAhead
	h.total.Store(heads + bodies + readAhead)
	h.unfinished.Store(int64(conn.body.size))
}

// releaseHeld records that the connection has closed.
func (conn *connection) releaseHeld() {
	conn.setHeld(0, 0, 0)
	conn.holdings.unfinished.Store(0)
}

// boundReadAhead stops reading while a request is in progress and callers have sent too much behind theirs. What the kernel holds is
// read all the same once the caller has closed its connection, which must be noticed.
func (conn *connection) boundReadAhead() {
	if conn.closed || conn.closing {
		return
	}
	hasMore, isHeld := conn.reader.IsPaused() && conn.reader.Buffered() > 0, conn.holdings.isHeld.Load()
	switch {
	case hasMore && !isHeld && !conn.hasDropped && !conn.server.account.MayReadAhead():
		conn.holdings.isHeld.Store(true)
		conn.server.config.Metrics.readingPaused()
		conn.socket.PauseUntilEnd()
	case isHeld && !hasMore:
		conn.holdings.isHeld.Store(false)
		conn.socket.Resume()
	}
}

// readOn reads on although the connection is held, as its end may be behind more bytes than the kernel takes, and a request is in progress
// that would run in vain then. The bytes are dropped, so the request that they belong to is refused.
func (conn *connection) readOn() {
	if conn.closed || conn.closing || conn.current == nil || !conn.holdings.isHeld.Load() {
		return
	}
	conn.hasDropped = true
	conn.holdings.isHeld.Store(false)
	conn.socket.Resume()
}

// takeBody takes memory for a piece of the request's body. If there is none, requests whose callers have stopped sending are refused.
func (conn *connection) takeBody(size int64) bool {
	budget, holds := conn.server.config.Memory, int64(conn.body.size)
	return budget.TakeMore(holds, size) || conn.server.refuseStalled(conn, max(size, budget.ReleaseSize())) && budget.TakeMore(holds, size)
}

// refuseUnfinished refuses the request that is being read, as there is no memory for it. It was not sent to any endpoint.
func (conn *connection) refuseUnfinished() {
	if conn.head != nil && conn.current == nil && !conn.closed {
		conn.server.config.Metrics.connectionShed("memory")
		conn.handleReadError(errNoMemory)
		conn.recordHeld()
	}
}

// shed refuses the request that is being read, or else closes the connection.
func (conn *connection) shed() {
	if conn.closed {
		return
	}
	if conn.head != nil && conn.current == nil {
		conn.refuseUnfinished()
		return
	}
	conn.server.config.Metrics.connectionShed("memory")
	conn.server.config.Log.Log(event.ConnectionShed, "caller", conn.socket.RemoteAddr(), "held", conn.holdings.total.Load(),
		"unsent", conn.unsent.Load(), "unread", conn.holdings.receiving.Load())
	conn.close()
}

// closeForOthers closes the connection to make room for that of another caller, unless a request is in progress or its answer is sent.
func (conn *connection) closeForOthers() {
	if conn.closed || conn.current != nil || conn.unsent.Load() > 0 {
		return
	}
	conn.server.config.Metrics.connectionShed("descriptors")
	conn.server.forgetConnection(conn.socket) // OnClose comes later, and the descriptor is free from now on.
	conn.close()
}
