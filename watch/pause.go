package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// RecordAnswer records what an answer says of the endpoint that sent it: that it is leaving, or wants no requests of this daemon for
// some time. An answer of another endpoint at the address says nothing of it.
func (l *ListedEndpoints) RecordAnswer(id chicoryhall.EndpointID, headers chicoryhall.AnswerHeaders) {
	if headers.Misdirected {
		return
	}
	if headers.Leaving {
		l.Observe(id, chicoryhall.ObservedLeaving)
	}
	if headers.RetryAfter > 0 {
		l.Pause(id, l.config.Timer.Now().Add(headers.RetryAfter), headers.RequestID)
	}
}

// Pause records that an endpoint wants no requests of this daemon until a time, as it said in the answer to a request. An
// earlier end of a pause is ignored. The pause also holds for an endpoint of the same service that is listed at the address
// before it is over: it is the same one, which has started again.
func (l *ListedEndpoints) Pause(id chicoryhall.EndpointID, until time.Time, request chicoryhall.RequestID) {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	isLater := l.statements.of(id).pause(until)
	e, known := l.entries[id]
	if !known {
		return
	}
	l.statements.pausePlace(placeOf(e.listing), until, now)
	if isLater {
		l.config.Log.Log(event.EndpointPaused, "endpoint", id, "service", e.listing.Service, "address", e.listing.Address,
			"request", request, "pause", until.Sub(now), "incarnation", e.listing.Incarnation)
	}
}

// PausedCount returns the number of listed endpoints that want no requests of this daemon now.
func (l *ListedEndpoints) PausedCount() int {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, e := range l.entries {
		if !e.gone && now.Before(e.said.pausedUntil) {
			count++
		}
	}
	return count
}

// AllPaused reports whether all ready endpoints of a service want no requests of this daemon, and when the first of these pauses
// ends. It returns false if none is ready.
func (l *ListedEndpoints) AllPaused(service chicoryhall.ServiceName) (until time.Time, all bool) {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.listing.Service != service || e.state(now) != chicoryhall.EndpointReady {
			continue
		}
		end := e.said.pausedUntil
		if !now.Before(end) {
			return time.Time{}, false
		}
		if !all || end.Before(until) {
			until = end
		}
		all = true
	}
	return until, all
}
