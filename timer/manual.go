package timer

import (
	"container/heap"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Manual is a chicoryhall.Timer whose time moves only in Advance; it is for one goroutine.
type Manual struct {
	now      time.Time
	queue    queue
	sequence uint64
}

// NewManual returns a Manual that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time reached so far.
func (m *Manual) Now() time.Time {
	return m.now
}

// Every calls tick once per period during Advance.
func (m *Manual) Every(period time.Duration, tick func(now time.Time)) chicoryhall.Subscription {
	return m.add(period, period, tick)
}

// After calls fire once during Advance.
func (m *Manual) After(delay time.Duration, fire func(now time.Time)) chicoryhall.Subscription {
	return m.add(delay, 0, fire)
}

func (m *Manual) add(delay, period time.Duration, call func(time.Time)) *subscription {
	m.sequence++
	item := &subscription{due: m.now.Add(delay), period: period, call: call, sequence: m.sequence}
	heap.Push(&m.queue, item)
	return item
}

// Advance moves the time by d and makes each call that falls due, in order.
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
