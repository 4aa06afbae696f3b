package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// wakeupTimer calls wake in the mailbox of a connection. Its fields are only used in that mailbox.
//
// A call that is due can be brought forward, but not postponed: wake has to check whether it was called too
// early and to call wakeBy again in that case.
type wakeupTimer struct {
	timer chicoryhall.Timer
	// post runs a function in the connection's mailbox.
	post func(func())
	wake func(now time.Time)

	// due is when wake is called next, or zero.
	due     time.Time
	pending chicoryhall.Subscription
}

// wakeBy makes sure that wake is called no later than the given time.
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

// cancel cancels the pending call of wake unless it has already been posted to the mailbox.
func (t *wakeupTimer) cancel() {
	if t.pending != nil {
		t.pending.Cancel()
		t.pending = nil
	}
}
