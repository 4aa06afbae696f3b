package requests

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// lagPeriod is the time between two measurements of this daemon's own delay.
	lagPeriod = 20 * time.Millisecond
	// maxLag is the delay of its own up to which a daemon trusts that a silence is another's.
	maxLag = 60 * time.Millisecond
)

// lag measures how late this daemon's own work runs, so that an overloaded or paused daemon
// does not blame endpoints for its own delay.
type lag struct {
	mu     sync.Mutex
	last   time.Time
	lateAt time.Time
}

// watch measures until the subscription is cancelled.
func (l *lag) watch(timer chicoryhall.Timer) chicoryhall.Subscription {
	return timer.Every(lagPeriod, func(time.Time) { l.tick(timer.Now()) })
}

// tick takes one measurement.
func (l *lag) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() && now.Sub(l.last) > lagPeriod+maxLag {
		l.lateAt = now
	}
	l.last = now
}

// lateSince reports whether this daemon was late at any time from since to now.
func (l *lag) lateSince(since, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := !l.last.IsZero() && now.Sub(l.last) > lagPeriod+maxLag
	return running || (!l.lateAt.IsZero() && !l.lateAt.Before(since))
}
