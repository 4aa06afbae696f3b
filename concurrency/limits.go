package concurrency

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=Cause -json -text -transform=kebab -trimprefix=Cause -output=cause_enumer.go

// Cause is why a limit fell.
type Cause int

// The causes of falls.
const (
	// CauseStart means that the endpoint has started, or accepted no connection.
	CauseStart Cause = iota
	// CauseRefusal means that it refused a request although it had slots left.
	CauseRefusal
	// CauseLate means that first events came late.
	CauseLate
	// CauseFailure means that connections to it broke, or that it was silent.
	CauseFailure
)

const causes = 4

// lowShare is the part of the slots below which a limit is reported as low.
const lowShare = 0.5

// Change is a limit that has fallen below half of the slots, or has reached them again.
type Change struct {
	Endpoint  chicoryhall.EndpointID
	Recovered bool
	Cause     Cause
	Limit     float64
	Slots     float64
}

// Stats is a snapshot of the limits.
type Stats struct {
	// Limited is the number of endpoints whose limit is below their slots, and Lowest the lowest limit among them, or 0.
	Limited int
	Lowest  float64
	// Falls counts the falls by cause.
	Falls [causes]uint64
}

// Limits holds the limits of all endpoints. It is not safe for concurrent use.
type Limits struct {
	// random returns a number from 0 up to 1.
	random  func() float64
	limits  map[chicoryhall.EndpointID]*limit
	falls   [causes]uint64
	changes []Change
}

// NewLimits returns Limits without evidence against any endpoint.
func NewLimits(random func() float64) *Limits {
	return &Limits{random: random, limits: make(map[chicoryhall.EndpointID]*limit)}
}

func (l *Limits) of(id chicoryhall.EndpointID) *limit {
	known := l.limits[id]
	if known == nil {
		known = &limit{}
		l.limits[id] = known
	}
	return known
}

// Start records that an endpoint has started or has returned, if isListing is set, or else that it accepts no connection of this
// daemon.
func (l *Limits) Start(id chicoryhall.EndpointID, f Flight, isListing bool, now time.Time) {
	if f.Slots <= 0 {
		return
	}
	known := l.of(id)
	wasStarting := known.phase == phaseStarting
	known.start(f.Slots, isListing, now)
	if !wasStarting {
		l.fell(id, CauseStart, f)
	}
}

// Keep forgets the endpoints for which isKnown returns false.
func (l *Limits) Keep(isKnown func(chicoryhall.EndpointID) bool) {
	maps.DeleteFunc(l.limits, func(id chicoryhall.EndpointID, _ *limit) bool { return !isKnown(id) })
}

// Current returns the limit of an endpoint, which is its slots if there is no evidence against it, or 0 if this daemon sends
// no request there yet. A limit that is not strict may be exceeded if there is no other way: late answers are better than none.
func (l *Limits) Current(id chicoryhall.EndpointID, f Flight, now time.Time) (value float64, strict bool) {
	known := l.limits[id]
	if known == nil || f.Slots <= 0 {
		return f.Slots, true
	}
	value, strict = known.current(f, l.random, now)
	if known.phase == phaseNone && known.isLow {
		known.isLow = false
		l.changes = append(l.changes, Change{Endpoint: id, Recovered: true, Limit: value, Slots: f.Slots})
	}
	return value, strict
}

// Refused records that an endpoint has refused a request for lack of room.
func (l *Limits) Refused(id chicoryhall.EndpointID, f Flight, now time.Time) {
	if f.Slots > 0 && l.of(id).refused(f, now) {
		l.fell(id, CauseRefusal, f)
	}
}

// Failed records that a connection to an endpoint broke or that it was silent. If mayBeHeldUp is set, progress soon after shows
// that the endpoint has not failed.
func (l *Limits) Failed(id chicoryhall.EndpointID, f Flight, mayBeHeldUp bool, now time.Time) {
	if f.Slots > 0 && l.of(id).failed(f, mayBeHeldUp, now) {
		l.fell(id, CauseFailure, f)
	}
}

// Progressed records that an endpoint makes progress.
func (l *Limits) Progressed(id chicoryhall.EndpointID, now time.Time) {
	if known := l.limits[id]; known != nil {
		known.progressed(now)
	}
}

// FirstEvent records the time to the first event of a request with the given route, whose target latency is given. One in time
// shows that all endpoints of the route are well. A late one counts against those endpoints of the route which are starting or
// have been lowered, and if there are none, against those of which no route was in time lately: of the endpoints of a long
// route, usually one alone is slow, and the others soon show in other routes that they are not.
func (l *Limits) FirstEvent(route []chicoryhall.EndpointID, took, target time.Duration, flight func(chicoryhall.EndpointID) Flight, now time.Time) {
	if len(route) == 0 {
		return
	}
	if !l.of(route[0]).answers.record(took, target) {
		for _, id := range route {
			if took <= target {
				l.of(id).inTime(now)
			}
		}
		return
	}
	isLimited := func(id chicoryhall.EndpointID) bool { return l.of(id).phase != phaseNone }
	anyLimited := slices.ContainsFunc(route, isLimited)
	for _, id := range route {
		f, known := flight(id), l.of(id)
		lates := known.answers.late(now)
		if f.Slots <= 0 || anyLimited != isLimited(id) || lates == 0 || !anyLimited && lates < lateToFall {
			continue
		}
		if known.late(f, now) {
			l.fell(id, CauseLate, f)
		}
	}
}

// fell counts a fall and notes if the limit has become low.
func (l *Limits) fell(id chicoryhall.EndpointID, cause Cause, f Flight) {
	l.falls[cause]++
	known := l.of(id)
	if known.isLow || known.value >= lowShare*f.Slots {
		return
	}
	known.isLow = true
	l.changes = append(l.changes, Change{Endpoint: id, Cause: cause, Limit: known.value, Slots: f.Slots})
}

// TakeChanges returns the changes since the last call.
func (l *Limits) TakeChanges() []Change {
	changes := l.changes
	l.changes = nil
	return changes
}

// Stats returns a snapshot of the limits.
func (l *Limits) Stats() Stats {
	stats := Stats{Falls: l.falls}
	for _, known := range l.limits {
		if known.phase == phaseNone {
			continue
		}
		if stats.Limited == 0 || known.value < stats.Lowest {
			stats.Lowest = known.value
		}
		stats.Limited++
	}
	return stats
}
