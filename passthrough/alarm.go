package passthrough

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// alarm calls fire in the turn of a connection, no later than the time it is set to. Its fields are
// used by that turn alone.
type alarm struct {
	timer chicoryhall.Timer
	// turn runs a function in the connection's turn.
	turn func(func())
	fire func(now time.Time)

	// at is when fire is called next, or zero.
	at      time.Time
	pending chicoryhall.Subscription
}

// set asks for a call no later than a time; an earlier call comes first, and may ask again.
func (a *alarm) set(at time.Time) {
	if !a.at.IsZero() && !at.Before(a.at) {
		return
	}
	a.cancel()
	a.at = at
	a.pending = a.timer.After(max(0, at.Sub(a.timer.Now())), func(time.Time) { a.turn(a.ring) })
}

// ring reads the time anew, as the turn may come late.
func (a *alarm) ring() {
	a.at = time.Time{}
	a.fire(a.timer.Now())
}

// cancel spares the call if it has not begun yet.
func (a *alarm) cancel() {
	if a.pending != nil {
		a.pending.Cancel()
	}
}
