package watch

import (
	"maps"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// leavingMemory is how long it is kept that an endpoint is leaving once the endpoint is not listed any more.
	leavingMemory = 2 * time.Minute
	// leavingDoubt is how long an endpoint counts as leaving after the list has shown another process of it that was started
	// before the endpoint said so. The clocks may be wrong, so a request then tries it again.
	leavingDoubt = 30 * time.Second
)

// statement is what an endpoint has said of itself in answers to this daemon. The list is an older and slower witness, so
// nothing in it ends a pause, and only a process that was started later than the statement ends leaving.
type statement struct {
	// pausedUntil is the end of the time for which the endpoint wants no requests of this daemon.
	pausedUntil time.Time
	// saidLeavingAt is when the endpoint last said that it is leaving, or zero. incarnation is the one that was listed then.
	saidLeavingAt time.Time
	incarnation   int64
	// doubtedFrom is when leaving ends unless the endpoint says it again, or zero.
	doubtedFrom time.Time
}

// place is where an endpoint works. An endpoint that starts again may have another ID there.
type place struct {
	service chicoryhall.ServiceName
	address string
}

func placeOf(listing chicoryhall.Listing) place { return place{listing.Service, listing.Address} }

// statements are those of all endpoints, also of such that are not listed now.
type statements struct {
	byEndpoint map[chicoryhall.EndpointID]*statement
	// pausedPlaces are the ends of the pauses at the places of the endpoints that have asked for them.
	pausedPlaces map[place]time.Time
}

func newStatements() statements {
	return statements{byEndpoint: make(map[chicoryhall.EndpointID]*statement), pausedPlaces: make(map[place]time.Time)}
}

// of returns the statement of an endpoint. It is empty if the endpoint has said nothing.
func (s *statements) of(id chicoryhall.EndpointID) *statement {
	known := s.byEndpoint[id]
	if known == nil {
		known = &statement{}
		s.byEndpoint[id] = known
	}
	return known
}

// pausePlace records a pause at a place. An earlier end is ignored.
func (s *statements) pausePlace(at place, until, now time.Time) {
	maps.DeleteFunc(s.pausedPlaces, func(_ place, end time.Time) bool { return !now.Before(end) })
	if until.After(s.pausedPlaces[at]) {
		s.pausedPlaces[at] = until
	}
}

// expire drops the statements that hold no more, of endpoints that have no entry.
func (s *statements) expire(hasEntry func(chicoryhall.EndpointID) bool, now time.Time) {
	maps.DeleteFunc(s.byEndpoint, func(id chicoryhall.EndpointID, one *statement) bool {
		return !hasEntry(id) && !now.Before(one.pausedUntil) && now.Sub(one.saidLeavingAt) > leavingMemory
	})
}

// pause records a pause and reports whether it ends later than the one before.
func (s *statement) pause(until time.Time) bool {
	if !until.After(s.pausedUntil) {
		return false
	}
	s.pausedUntil = until
	return true
}

// sayLeaving records that the endpoint, listed with the given incarnation, is leaving.
func (s *statement) sayLeaving(incarnation int64, now time.Time) {
	s.saidLeavingAt, s.incarnation, s.doubtedFrom = now, incarnation, time.Time{}
}

// isLeaving reports whether the endpoint is leaving by its own words.
func (s *statement) isLeaving(now time.Time) bool {
	return !s.saidLeavingAt.IsZero() && (s.doubtedFrom.IsZero() || now.Before(s.doubtedFrom))
}

// onListing compares the statement with a listing of the endpoint. Another process that was started since ends leaving. One
// that was started before may be the one that has said so.
func (s *statement) onListing(listing chicoryhall.Listing, now time.Time) {
	if s.saidLeavingAt.IsZero() || listing.Incarnation == s.incarnation {
		return
	}
	if time.UnixMilli(listing.Incarnation).After(s.saidLeavingAt) {
		s.saidLeavingAt, s.doubtedFrom = time.Time{}, time.Time{}
		return
	}
	s.incarnation, s.doubtedFrom = listing.Incarnation, now.Add(leavingDoubt)
}
