package passthrough

import (
	"time"
)

// idleTimeout returns how long the connection may be idle between two requests.
func (conn *connection) idleTimeout() time.Duration {
	if conn.isPeer {
		return peerIdleTimeout
	}
	_, _, idle := conn.server.limits()
	return idle
}

// linger closes the connection after lingerTime, so that the caller can read its last answer. Until then, what it sends is read, as the
// kernel would otherwise reset the connection, which may take back that answer.
func (conn *connection) linger() {
	conn.setCloseTimeout(lingerTime)
	if conn.holdings.isHeld.Swap(false) {
		conn.socket.Resume()
	}
}

// setCloseTimeout sets the time after which the connection is closed unless closeAt is changed before.
func (conn *connection) setCloseTimeout(timeout time.Duration) {
	conn.closeAt = conn.server.config.Timer.Now().Add(timeout)
	conn.graceUsed = false
	conn.closeTimer.wakeBy(conn.closeAt)
}

// onCloseDue closes the connection if closeAt has passed. It runs in the mailbox, after the requests that have
// been read before.
func (conn *connection) onCloseDue(now time.Time) {
	switch {
	case conn.closed || conn.closeAt.IsZero():
	case now.Before(conn.closeAt):
		conn.closeTimer.wakeBy(conn.closeAt)
	case !conn.graceUsed && now.Sub(conn.closeAt) >= lateGrace:
		conn.setCloseTimeout(lateGrace)
		conn.graceUsed = true
	case conn.isSending(now):
		conn.setCloseTimeout(lingerTime)
	default:
		conn.close()
	}
}

// isSending reports whether a part of an answer has not been sent yet, and the caller has taken some of it recently.
func (conn *connection) isSending(now time.Time) bool {
	unsent := conn.unsent.Load()
	if unsent != conn.unsentAtCheck {
		conn.unsentAtCheck, conn.unsentSince = unsent, now
	}
	return unsent > 0 && now.Sub(conn.unsentSince) < maxSendPause
}

// close closes the connection immediately.
func (conn *connection) close() {
	conn.closing = true
	conn.socket.Close()
}

// closeIfIdle closes the connection if it is between two requests. A connection that has just opened is not, as its first
// request is on the way; closeAt limits the wait for it.
func (conn *connection) closeIfIdle() {
	if !conn.isPeer && conn.hasRequested && conn.isBetweenRequests() && !conn.closing && conn.unsent.Load() == 0 {
		conn.close()
	}
}
