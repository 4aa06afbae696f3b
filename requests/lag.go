package requests

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// lagPeriod is the period of the measurement.
	lagPeriod = 20 * time.Millisecond
	// maxLag is how late a tick may be without this daemon counting as late.
	maxLag = 60 * time.Millisecond
)

// lagMonitor measures how late this daemon's timer runs, so that an overloaded or paused daemon
// does not take its own delay for that of an endpoint.
type lagMonitor struct {
	mu         sync.Mutex
	lastTick   time.Time
	lastLateAt time.Time
}

// start begins the measurement; it ends when the subscription is cancelled.
func (l *lagMonitor) start(timer chicoryhall.Timer) chicoryhall.Subscription {
	return timer.Every(lagPeriod, func(time.Time) { l.measure(timer.Now()) })
}

// measure records one tick of the timer.
func (l *lagMonitor) measure(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) > lagPeriod+maxLag {
		l.lastLateAt = now
	}
	l.lastTick = now
}

// wasLateSince reports whether the timer was late at any time between since and now.
func (l *lagMonitor) wasLateSince(since, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lateNow := !l.lastTick.IsZero() && now.Sub(l.lastTick) > lagPeriod+maxLag
	return lateNow || (!l.lastLateAt.IsZero() && !l.lastLateAt.Before(since))
}
