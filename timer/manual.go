package timer

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Manual is a chicoryhall.Timer whose time changes only in Advance. It is safe for concurrent use, but only one goroutine at a time may
// call Advance.
type Manual struct {
	schedule schedule

	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the current time of m.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every subscribes tick, which Advance then calls once per period, first after one period.
func (m *Manual) Every(period time.Duration, tick func(now time.Time)) chicoryhall.Subscription {
	item, _ := m.schedule.add(m.Now().Add(period), period, tick)
	return item
}

// After subscribes fire, which Advance then calls once, after delay.
func (m *Manual) After(delay time.Duration, fire func(now time.Time)) chicoryhall.Subscription {
	item, _ := m.schedule.add(m.Now().Add(delay), 0, fire)
	return item
}

// Advance advances the time by d and makes the calls that become due, in the order of their due times and then of their
// subscription. During a call, the time is that at which the call is due. Unlike Service, it never skips calls.
func (m *Manual) Advance(d time.Duration) {
	end := m.Now().Add(d)
	for {
		item, call := m.schedule.takeDue(end)
		if item == nil {
			break
		}
		call(m.advanceTo(item.due))
		m.schedule.repeat(item, time.Time{})
	}
	m.advanceTo(end)
}

// advanceTo sets the time to the given one, unless it is later already, and returns it.
func (m *Manual) advanceTo(at time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.now) {
		m.now = at
	}
	return m.now
}
