package timer

import (
	"container/heap"
	"sync"
	"time"
)

// schedule holds the subscriptions whose calls are still to be made. It is safe for concurrent use.
type schedule struct {
	mu       sync.Mutex
	queue    queue
	sequence uint64
}

// subscription is a single or periodic call to be made at its due time. Its schedule's lock guards the fields that change.
type subscription struct {
	schedule *schedule
	due      time.Time
	period   time.Duration // 0 for a single call
	call     func(now time.Time)
	sequence uint64 // order of creation
	index    int    // in the queue, or notQueued
	// cancelled is set once no further call is to be made.
	cancelled bool
}

// Cancel prevents further calls, and drops the function with all that it refers to. Of a Service, it may be called concurrently,
// and a call that is already due may then still be made.
func (s *subscription) Cancel() {
	s.schedule.mu.Lock()
	defer s.schedule.mu.Unlock()
	s.cancelled, s.call = true, nil
	s.schedule.queue.remove(s)
}

// add schedules the first call of a new subscription and reports whether it is the next of all.
func (s *schedule) add(due time.Time, period time.Duration, call func(time.Time)) (item *subscription, isNext bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	item = &subscription{schedule: s, due: due, period: period, call: call, sequence: s.sequence}
	heap.Push(&s.queue, item)
	return item, item.index == 0
}

// takeDue removes and returns the next subscription if it is due at or before now, with its call, or returns nil.
func (s *schedule) takeDue(now time.Time) (item *subscription, call func(time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 || s.queue[0].due.After(now) {
		return nil, nil
	}
	item = heap.Pop(&s.queue).(*subscription)
	return item, item.call
}

// repeat schedules the next call of a subscription whose last call has been made, unless it is a single one or was cancelled. If
// the next call was due before earliest, it is made one period after earliest.
func (s *schedule) repeat(item *subscription, earliest time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item.period == 0 || item.cancelled {
		return
	}
	item.due = item.due.Add(item.period)
	if item.due.Before(earliest) {
		item.due = earliest.Add(item.period)
	}
	heap.Push(&s.queue, item)
}

// nextDue returns when the next call is due, or false if there is none.
func (s *schedule) nextDue() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return time.Time{}, false
	}
	return s.queue[0].due, true
}
