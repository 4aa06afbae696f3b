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
	// limitVersion is the Controller's stateVersion for which limit was computed.
	limitVersion int64
	// limit is the number of requests that may run. If there are several classes, requests of the
	// highest priority may exceed it by reserve, so that they can start while those of other
	// classes use up the limit.
	limit   int
	reserve int
	running int
	queued  int
	// classes are ordered by priority; 0 is the highest.
	classes []*class
	// shares are the organisations' weights in fair queueing; unknown organisations have 1.
	shares map[chicoryhall.Organisation]float64
}

// reserveDivisor is the divisor of the limit that yields the reserve of the highest-priority class.
const reserveDivisor = 8

func newService() *service {
	return &service{}
}

// apply sets the document and the limit. Classes keep their waiting and running requests. Classes
// that the document no longer has are kept too, with their last configuration and for the life of
// the process: their requests may still wait or run, and new ones are admitted.
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
		index := slices.IndexFunc(s.classes, func(c *class) bool { return c.config.Name == config.Name })
		if index < 0 {
			s.classes = append(s.classes, newClass(config))
			continue
		}
		s.classes[index].config = config
	}
	slices.SortStableFunc(s.classes, func(a, b *class) int { return a.config.Priority - b.config.Priority })
}

func (s *service) classOf(name chicoryhall.ClassName) (*class, error) {
	for _, c := range s.classes {
		if c.config.Name == name {
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

// limitOf returns the limit for a class: its requests may start while fewer requests of the service
// run.
func (s *service) limitOf(c *class) int {
	if len(s.classes) > 1 && c.config.Priority == s.classes[0].config.Priority {
		return s.limit + s.reserve
	}
	return s.limit
}

// push queues a request.
func (s *service) push(w *waitingRequest) {
	w.class.push(w, s.shareOf(w.query.Organisation))
	s.queued++
}

// pop removes and returns the next request that may start, or nil. If the limit of the first class
// with waiting requests is reached, lower classes wait too.
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

// addRunning counts a request that starts.
func (s *service) addRunning(c *class) {
	s.running++
	c.running++
}

// removeRunning counts a request that returns its permit after the given duration.
func (s *service) removeRunning(c *class, duration, stated time.Duration) {
	s.running--
	c.running--
	c.recordFinished(duration, stated)
}

// requestsAheadOf estimates how many waiting requests start before w if w is added to its queue.
func (s *service) requestsAheadOf(w *waitingRequest) float64 {
	return s.requestsAhead(w.class, s.shareOf(w.query.Organisation), w.class.queueLength(w.query.Organisation))
}

// requestsAhead estimates how many waiting requests start before one of the class at the given
// position in the queue of an organisation with the given share.
func (s *service) requestsAhead(c *class, share float64, position int) float64 {
	earlier := 0
	for _, other := range s.classes {
		if other == c {
			break
		}
		earlier += other.queued
	}
	return float64(earlier) + c.requestsAhead(share, position)
}

// lateness returns by how much a request is expected to exceed its deadline or its MaxWait if the
// given number of requests start before it. It is negative if the request is expected to meet both.
func (s *service) lateness(w *waitingRequest, ahead float64, now time.Time) time.Duration {
	wait := s.expectedWait(w.class, ahead)
	lateness := now.Add(wait).Add(w.class.correctedDuration(w.query.ExpectedDuration)).Sub(w.query.Deadline)
	if w.query.MaxWait > 0 {
		lateness = max(lateness, now.Add(wait).Sub(w.requestedAt)-w.query.MaxWait)
	}
	return lateness
}

// expectedWait returns the expected time until a request can start if the given number of requests
// start before it. The request and those before it take the places that are free below the limit.
// The rest of them wait until running requests finish: one finishes per meanDuration/n, where n is
// the limit minus the running requests of classes with higher priority.
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
	return time.Duration((ahead + 1 - float64(max(0, free))) * float64(c.meanDuration) / float64(max(1, slots)))
}

// lateRequest is a waiting request that is expected to exceed its deadline or MaxWait, with its
// lateness.
type lateRequest struct {
	request  *waitingRequest
	lateness time.Duration
}

// removeLate removes and returns the waiting requests that are expected to exceed their deadline or
// MaxWait, starting with the class of the lowest priority. A waiting request of a
// higher class therefore counts as ahead of one of a lower class even if it is removed afterwards.
func (s *service) removeLate(now time.Time) []lateRequest {
	var removed []lateRequest
	for _, c := range slices.Backward(s.classes) {
		for _, f := range c.flows {
			kept := f.queue[:0]
			for _, w := range f.queue {
				lateness := s.lateness(w, s.requestsAhead(c, f.share, len(kept)), now)
				if lateness <= 0 {
					kept = append(kept, w)
					continue
				}
				removed = append(removed, lateRequest{request: w, lateness: lateness})
				c.queued--
				s.queued--
			}
			clear(f.queue[len(kept):])
			f.queue = kept
		}
	}
	return removed
}
