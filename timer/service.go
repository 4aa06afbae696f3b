package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// idleSleep is how long Serve sleeps if nothing is subscribed. Its value does not matter, as add wakes Serve.
const idleSleep = time.Hour

// Service is a chicoryhall.Timer that uses the system's monotonic clock.
type Service struct {
	mu       sync.Mutex
	queue    queue
	sequence uint64
	wake     chan struct{}
}

// New returns a Service. It makes calls only while Serve runs, one after another, so a call must not block.
func New() *Service {
	return &Service{wake: make(chan struct{}, 1)}
}

// Now returns the current time with a monotonic clock reading.
func (s *Service) Now() time.Time {
	return time.Now()
}

// Every calls tick once per period with the current time, first after one period.
func (s *Service) Every(period time.Duration, tick func(now time.Time)) chicoryhall.Subscription {
	return s.add(period, period, tick)
}

// After calls fire once after delay.
func (s *Service) After(delay time.Duration, fire func(now time.Time)) chicoryhall.Subscription {
	return s.add(delay, 0, fire)
}

func (s *Service) add(delay, period time.Duration, call func(time.Time)) *subscription {
	s.mu.Lock()
	s.sequence++
	item := &subscription{due: time.Now().Add(delay), period: period, call: call, sequence: s.sequence}
	heap.Push(&s.queue, item)
	first := s.queue[0] == item
	s.mu.Unlock()
	if first {
		s.signal()
	}
	return item
}

// signal wakes Serve, so that it computes anew for how long to sleep.
func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve makes the scheduled calls, one after another, until ctx is done.
func (s *Service) Serve(ctx context.Context) error {
	sleepTimer := time.NewTimer(0)
	defer sleepTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sleepTimer.C:
		case <-s.wake:
		}
		s.runDue()
		sleepTimer.Reset(s.untilNext())
	}
}

func (s *Service) runDue() {
	for {
		now := time.Now()
		s.mu.Lock()
		item := s.queue.popDue(now)
		s.mu.Unlock()
		if item == nil {
			return
		}
		item.call(now)
		s.repeat(item, now)
	}
}

// repeat schedules the next call of a periodic subscription, whose last call was started at now. If the next one was
// overdue at that time, the missed calls are skipped, and it is made one period after now.
func (s *Service) repeat(item *subscription, now time.Time) {
	if item.period == 0 || item.cancelled.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	item.due = item.due.Add(item.period)
	if item.due.Before(now) {
		item.due = now.Add(item.period)
	}
	heap.Push(&s.queue, item)
}

func (s *Service) untilNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return idleSleep
	}
	return max(0, time.Until(s.queue[0].due))
}
