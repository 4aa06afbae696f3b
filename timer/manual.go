package timer

import (
	"container/heap"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Manual is a chicoryhall.Timer whose time changes only in Advance. It is not safe for concurrent use.
type Manual struct {
	now      time.Time
	queue    queue
	sequence uint64
}

// NewManual returns a Manual whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the current time of m.
func (m *Manual) Now() time.Time {
	return m.now
}

// Every subscribes tick, which Advance then calls once per period, first after one period.
func (m *Manual) Every(period time.Duration, tick func(now time.Time)) chicoryhall.Subscription {
	return m.add(period, period, tick)
}

// After subscribes fire, which Advance then calls once, after delay.
func (m *Manual) After(delay time.Duration, fire func(now time.Time)) chicoryhall.Subscription {
	return m.add(delay, 0, fire)
}

func (m *Manual) add(delay, period time.Duration, call func(time.Time)) *subscription {
	m.sequence++
	item := &subscription{due: m.now.Add(delay), period: period, call: call, sequence: m.sequence}
	heap.Push(&m.queue, item)
	return item
}

// Advance advances the time by d and makes the calls that become due, in the order of their due times and then of their
// subscription. During a call, the time is that at which the call is due. Unlike Service, it never skips calls.
func (m *Manual) Advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		item := m.queue.popDue(end)
		if item == nil {
			break
		}
		if item.due.After(m.now) {
			m.now = item.due
		}
		item.call(m.now)
		if item.period > 0 && !item.cancelled.Load() {
			item.due = item.due.Add(item.period)
			heap.Push(&m.queue, item)
		}
	}
	m.now = end
}
