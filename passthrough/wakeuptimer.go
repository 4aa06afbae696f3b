package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// wakeupTimer calls wake in the mailbox of a connection at a time that may be moved forward. Its fields are
// only used in that mailbox.
type wakeupTimer struct {
	timer chicoryhall.Timer
	// post runs a function in the connection's mailbox.
	post func(func())
	wake func(now time.Time)

	// due is when wake is called next, or zero.
	due     time.Time
	pending chicoryhall.Subscription
}

// wakeBy makes sure that wake is called no later than a time. A call that is already due earlier stays; wake
// has to call wakeBy again then.
func (t *wakeupTimer) wakeBy(at time.Time) {
	if !t.due.IsZero() && !at.Before(t.due) {
		return
	}
	t.cancel()
	t.due = at
	t.pending = t.timer.After(max(0, at.Sub(t.timer.Now())), func(time.Time) { t.post(t.onTimer) })
}

// onTimer calls wake with the current time, as the mailbox may be late.
func (t *wakeupTimer) onTimer() {
	t.due = time.Time{}
	t.wake(t.timer.Now())
}

// cancel cancels the pending call unless it has begun.
func (t *wakeupTimer) cancel() {
	if t.pending != nil {
		t.pending.Cancel()
	}
}
