package admission

import (
	"fmt"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// service is what this daemon runs and holds back of one service.
type service struct {
	document *chicoryhall.Document
	changes  int64
	// limit is the number of requests that may run; the first class may pass it by reserve.
	limit   int
	reserve int
	running int
	queued  int
	// classes are ordered by priority.
	classes []*class
	shares  map[chicoryhall.Organisation]float64
}

// reserveDivisor gives the part of the limit that only the first class may use beyond it.
const reserveDivisor = 8

func newService() *service {
	return &service{}
}

// apply takes over a document and a limit; classes keep what they have waiting and running.
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
	for _, described := range document.Classes {
		index := slices.IndexFunc(s.classes, func(c *class) bool { return c.document.Name == described.Name })
		if index < 0 {
			s.classes = append(s.classes, newClass(described))
			continue
		}
		s.classes[index].document = described
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

// limitOf returns the number of running requests below which a class may start one.
func (s *service) limitOf(c *class) int {
	if len(s.classes) > 1 && c.document.Priority == s.classes[0].document.Priority {
		return s.limit + s.reserve
	}
	return s.limit
}

// push makes a request wait.
func (s *service) push(w *waiting) {
	w.class.push(w, s.shareOf(w.query.Organisation))
	s.queued++
}

// pop removes and returns the next request that may start, or nil.
func (s *service) pop() *waiting {
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

func (s *service) started(c *class) {
	s.running++
	c.running++
}

func (s *service) ended(c *class, held, expected time.Duration) {
	s.running--
	c.running--
	c.learn(held, expected)
}

// ahead returns the number of waiting requests that go before a new one of the class and
// organisation.
func (s *service) ahead(w *waiting) float64 {
	return s.aheadAt(w.class, s.shareOf(w.query.Organisation), w.class.queuedOf(w.query.Organisation))
}

// aheadAt returns the number of waiting requests that go before the one at a position of an
// organisation with the given share.
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

// lateness returns by how much a request would end behind its deadline with the given number of
// requests ahead of it; it is negative when the request fits.
func (s *service) lateness(w *waiting, ahead float64, now time.Time) time.Duration {
	wait := s.wait(w.class, ahead)
	late := now.Add(wait).Add(w.class.expected(w.query.ExpectedDuration)).Sub(w.query.Deadline)
	if w.query.MaxWait > 0 {
		late = max(late, now.Add(wait).Sub(w.entered)-w.query.MaxWait)
	}
	return late
}

// wait is the expected time until a place is free for a request with others ahead of it.
func (s *service) wait(c *class, ahead float64) time.Duration {
	free := s.limitOf(c) - s.running
	if free > 0 && ahead < float64(free) {
		return 0
	}
	places := s.limitOf(c)
	for _, other := range s.classes {
		if other == c {
			break
		}
		places -= other.running
	}
	return time.Duration((ahead + 1 - float64(max(0, free))) * float64(c.held) / float64(max(1, places)))
}

// lateRequest is a waiting request that would end behind its deadline.
type lateRequest struct {
	waiting *waiting
	late    time.Duration
}

// shed removes and returns the waiting requests that cannot meet their deadlines, lowest class
// first.
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
