package passthrough

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/stall"
)

// overtakenAge is how long the silence of an attempt counts after a hedge has overtaken it.
const overtakenAge = 2 * time.Second

// progressBoard holds how the attempts in progress at endpoints go on, so that each can be compared with the others. It is safe for
// concurrent use.
type progressBoard struct {
	// base is a point in time of the grid on which attempts are judged.
	base time.Time

	mu    sync.Mutex
	marks map[*attempt]*progressMark
	// overtaken are the marks of attempts that were silent when a hedge went ahead of them.
	overtaken []*progressMark
	usual     map[chicoryhall.ServiceName]*stall.UsualPauses
}

// progressMark is how one attempt goes on.
type progressMark struct {
	hops     []chicoryhall.EndpointID
	priority int
	// last is when the last piece of the answer arrived, longest the longest pause between two pieces, in nanoseconds, and begun
	// whether there was one.
	last, longest atomic.Int64
	begun         atomic.Bool
}

// add adds an attempt that starts now.
func (b *progressBoard) add(a *attempt) *progressMark {
	mark := &progressMark{hops: hopsOf(a.route), priority: a.exchange.class.Priority}
	mark.last.Store(a.startedAt.UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.marks == nil {
		b.marks = make(map[*attempt]*progressMark)
	}
	b.marks[a] = mark
	return mark
}

// move records that an attempt goes on at the endpoints of another route.
func (b *progressBoard) move(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	moved := &progressMark{hops: hopsOf(a.route), priority: a.mark.priority}
	moved.last.Store(a.lastProgress.UnixNano())
	moved.longest.Store(a.mark.longest.Load())
	moved.begun.Store(a.mark.begun.Load())
	a.mark, b.marks[a] = moved, moved
}

func (b *progressBoard) remove(a *attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.marks, a)
}

// overtake keeps the silence of an attempt that a hedge has overtaken as evidence against its endpoints.
func (b *progressBoard) overtake(mark *progressMark, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	mark.begun.Store(true)
	b.overtaken = append(b.overtaken, mark)
}

// expire forgets overtaken attempts that are too old. The caller holds b.mu.
func (b *progressBoard) expire(now time.Time) {
	b.overtaken = slices.DeleteFunc(b.overtaken, func(m *progressMark) bool { return now.UnixNano()-m.last.Load() > int64(overtakenAge) })
}

// addPause counts a pause after which a stream of a service went on.
func (b *progressBoard) addPause(service chicoryhall.ServiceName, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usual == nil {
		b.usual = make(map[chicoryhall.ServiceName]*stall.UsualPauses)
	}
	if b.usual[service] == nil {
		b.usual[service] = &stall.UsualPauses{}
	}
	b.usual[service].Add(pause)
}

// usualPause returns the longest pause that is usual for a service, or 0 if that is not known.
func (b *progressBoard) usualPause(service chicoryhall.ServiceName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usual[service] == nil {
		return 0
	}
	return b.usual[service].Longest()
}

// failedHops returns the endpoints of a route that have probably failed by the silence of several attempts.
func (b *progressBoard) failedHops(route []chicoryhall.EndpointID, usual time.Duration, now time.Time) []chicoryhall.EndpointID {
	b.mu.Lock()
	b.expire(now)
	streams := make([]stall.Progress, 0, len(b.marks)+len(b.overtaken))
	for _, mark := range b.marks {
		streams = mark.appendTo(streams, now)
	}
	for _, mark := range b.overtaken {
		streams = mark.appendTo(streams, now)
	}
	b.mu.Unlock()
	return stall.FailedHops(route, streams, usual)
}

func (m *progressMark) appendTo(streams []stall.Progress, now time.Time) []stall.Progress {
	if !m.begun.Load() {
		return streams
	}
	return append(streams, stall.Progress{
		Hops: m.hops, Silent: time.Duration(now.UnixNano() - m.last.Load()), Longest: time.Duration(m.longest.Load()),
	})
}

// using returns the attempts whose route contains an endpoint, those of the most urgent requests first.
func (b *progressBoard) using(id chicoryhall.EndpointID) []*attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*attempt
	for a, mark := range b.marks {
		if slices.Contains(mark.hops, id) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(x, y *attempt) int { return cmp.Compare(b.marks[x].priority, b.marks[y].priority) })
	return all
}

// watchEndpoints subscribes to changes of endpoints, if there are any.
func (s *Server) watchEndpoints() {
	if s.config.Endpoints != nil {
		s.config.Endpoints.Subscribe(s.onEndpointChanged)
	}
}

// onEndpointChanged judges the attempts again whose route contains an endpoint that has become suspect or dead. It posts to them
// from the timer, as it may be called while an attempt is handled.
func (s *Server) onEndpointChanged(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	if state != chicoryhall.EndpointSuspect && state != chicoryhall.EndpointDead {
		return
	}
	affected := s.progress.using(id)
	if len(affected) == 0 {
		return
	}
	s.config.Timer.After(0, func(time.Time) {
		for _, a := range affected {
			a.post(a.onSuspectHop)
		}
	})
}

func hopsOf(route chicoryhall.Route) []chicoryhall.EndpointID {
	ids := make([]chicoryhall.EndpointID, 0, len(route.Hops))
	for _, hop := range route.Hops {
		ids = append(ids, hop.Engine)
	}
	return ids
}
