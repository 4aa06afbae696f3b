package passthrough

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// roomWaitFraction is the part of its target latency for which a request waits until endpoints have room for it. With the
	// rest it can still be answered in time; one that is refused comes back too late for that.
	roomWaitFraction = 0.5
	// maxResumeWait is how long a stream that has begun waits for room after its last piece.
	maxResumeWait = 1500 * time.Millisecond
	// roomCheckPeriod is the time between two tries to find endpoints with room.
	roomCheckPeriod = 25 * time.Millisecond
)

// awaitRoom tries again to find endpoints after roomCheckPeriod. It returns false if the exchange has waited for too long.
func (x *callerExchange) awaitRoom() bool {
	until := x.startedAt.Add(time.Duration(roomWaitFraction * float64(x.rule.TargetLatency)))
	if x.machine.IsAnswerStarted() {
		until = x.lastPieceAt.Add(maxResumeWait)
	}
	if !x.config().Timer.Now().Before(until) || x.server.shuttingDown.Load() {
		return false
	}
	x.startAttemptAfter(roomCheckPeriod)
	return true
}

// startAttemptAfter starts an attempt after a pause, unless the exchange has ended by then.
func (x *callerExchange) startAttemptAfter(pause time.Duration) {
	x.config().Timer.After(pause, func(time.Time) {
		x.conn.post(func() {
			if !x.finished {
				x.startAttempt()
			}
		})
	})
}

// lacksRoom reports whether a router's error means that there is a route but its endpoints are full.
func lacksRoom(err error) bool {
	var capacityErr interface {
		error
		LacksRoom() bool
	}
	return errors.As(err, &capacityErr) && capacityErr.LacksRoom()
}
