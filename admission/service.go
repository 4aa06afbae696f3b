package admission

import (
	"fmt"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// service is this daemon's running and waiting requests of one service.
type service struct {
	document *chicoryhall.Document
	// appliedChanges is the value of Controller.changes for which limit was computed.
	appliedChanges int64
	// limit is the number of requests that may run. Requests of the highest priority may exceed it
	// by reserve if there are several classes.
	limit   int
	reserve int
	running int
	queued  int
	// classes are ordered by priority.
	classes []*class
	// shares are the organisations' weights in fair queueing; unknown organisations have 1.
	shares map[chicoryhall.Organisation]float64
}

// reserveDivisor is the divisor of the limit that yields the reserve of the highest-priority class.
const reserveDivisor = 8

func newService() *service {
	return &service{}
}

// apply sets the document and the limit. Classes keep their waiting and running requests.
func (s *service) apply(document *chicoryhall.Document, limit int) {
	s.limit = limit
	s.reserve = max(1, limit/reserveDivisor)
	if s.document == document {
		return
	}
	s.document = document
	s.shares = make(map[chicoryhall.Organisation]float64, len(document.Organisations))
	for _, organisation := range document.Organisations {
		s.shares[organisation.Name] = float64(max(1, organisation.Share))
	}
	for _, config := range document.Classes {
		index := slices.IndexFunc(s.classes, func(c *class) bool { return c.document.Name == config.Name })
		if index < 0 {
			s.classes = append(s.classes, newClass(config))
			continue
		}
		s.classes[index].document = config
	}
	slices.SortStableFunc(s.classes, func(a, b *class) int { return a.document.Priority - b.document.Priority })
}

func (s *service) classOf(name chicoryhall.ClassName) (*class, error) {
	for _, c := range s.classes {
		if c.document.Name == name {
			return c, nil
		}
	}
	return nil, fmt.Errorf("admit request: service %q has no class %q", s.document.Service, name)
}

func (s *service) shareOf(organisation chicoryhall.Organisation) float64 {
	if share, ok := s.shares[organisation]; ok {
		return share
	}
	return 1
}

// limitOf returns the limit for a class: it may start a request while fewer than these run.
func (s *service) limitOf(c *class) int {
	if len(s.classes) > 1 && c.document.Priority == s.classes[0].document.Priority {
		return s.limit + s.reserve
	}
	return s.limit
}

// push queues a request.
func (s *service) push(w *waitingRequest) {
	w.class.push(w, s.shareOf(w.query.Organisation))
	s.queued++
}

// pop removes and returns the next request that may start, or nil.
func (s *service) pop() *waitingRequest {
	for _, c := range s.classes {
		if c.queued == 0 {
			continue
		}
		if s.running >= s.limitOf(c) {
			return nil
		}
		s.queued--
		return c.pop()
	}
	return nil
}

// started counts a request that starts.
func (s *service) started(c *class) {
	s.running++
	c.running++
}

// finished counts a request that ends after it held its permit for the given time.
func (s *service) finished(c *class, held, expected time.Duration) {
	s.running--
	c.running--
	c.recordFinished(held, expected)
}

// ahead returns the expected number of waiting requests that start before a new request w.
func (s *service) ahead(w *waitingRequest) float64 {
	return s.aheadAt(w.class, s.shareOf(w.query.Organisation), w.class.queueLength(w.query.Organisation))
}

// aheadAt returns the expected number of waiting requests that start before the one at a position
// in the queue of an organisation with the given share.
func (s *service) aheadAt(c *class, share float64, position int) float64 {
	higher := 0
	for _, other := range s.classes {
		if other == c {
			break
		}
		higher += other.queued
	}
	return float64(higher) + c.aheadAt(share, position)
}

// lateness returns by how much a request is expected to exceed its deadline or its MaxWait with the
// given number of requests ahead of it. It is negative if the request is expected to meet both.
func (s *service) lateness(w *waitingRequest, ahead float64, now time.Time) time.Duration {
	wait := s.expectedWait(w.class, ahead)
	late := now.Add(wait).Add(w.class.expectedDuration(w.query.ExpectedDuration)).Sub(w.query.Deadline)
	if w.query.MaxWait > 0 {
		late = max(late, now.Add(wait).Sub(w.enteredAt)-w.query.MaxWait)
	}
	return late
}

// expectedWait returns the expected time until a request with others ahead of it can start.
func (s *service) expectedWait(c *class, ahead float64) time.Duration {
	free := s.limitOf(c) - s.running
	if free > 0 && ahead < float64(free) {
		return 0
	}
	slots := s.limitOf(c)
	for _, other := range s.classes {
		if other == c {
			break
		}
		slots -= other.running
	}
	return time.Duration((ahead + 1 - float64(max(0, free))) * float64(c.meanHoldTime) / float64(max(1, slots)))
}

// lateRequest is a waiting request that would exceed its deadline or MaxWait, and by how much.
type lateRequest struct {
	waiting *waitingRequest
	late    time.Duration
}

// shed removes and returns the waiting requests that can no longer meet their deadlines, starting
// with the class of the lowest priority.
func (s *service) shed(now time.Time) []lateRequest {
	var shed []lateRequest
	for _, c := range slices.Backward(s.classes) {
		for _, f := range c.flows {
			kept := f.queue[:0]
			for _, w := range f.queue {
				late := s.lateness(w, s.aheadAt(c, f.share, len(kept)), now)
				if late <= 0 {
					kept = append(kept, w)
					continue
				}
				shed = append(shed, lateRequest{waiting: w, late: late})
				c.queued--
				s.queued--
			}
			clear(f.queue[len(kept):])
			f.queue = kept
		}
	}
	return shed
}
