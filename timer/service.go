package timer

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall"
)

// idleSleep is how long Serve sleeps if nothing is subscribed. Its value does not matter, as add wakes Serve.
const idleSleep = time.Hour

// Service is a chicoryhall.Timer that uses the system's monotonic clock.
type Service struct {
	schedule schedule
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
	item, isNext := s.schedule.add(time.Now().Add(delay), period, call)
	if isNext {
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

// runDue makes the calls that are due. Calls of a periodic subscription that were missed are skipped.
func (s *Service) runDue() {
	for {
		now := time.Now()
		item, call := s.schedule.takeDue(now)
		if item == nil {
			return
		}
		call(now)
		s.schedule.repeat(item, now)
	}
}

func (s *Service) untilNext() time.Duration {
	due, found := s.schedule.nextDue()
	if !found {
		return idleSleep
	}
	return max(0, time.Until(due))
}
