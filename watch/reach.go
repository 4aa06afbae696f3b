package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// ServiceProgress returns when this daemon's traffic last showed progress at any listed endpoint of a service.
func (l *ListedEndpoints) ServiceProgress(service chicoryhall.ServiceName) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, e := range l.entries {
		if e.listing.Service == service && !e.gone && e.lastProgress.After(last) {
			last = e.lastProgress
		}
	}
	return last
}

// Unreached returns the endpoints of a service that are listed and not leaving, but that this daemon's traffic has not reached
// lately.
func (l *ListedEndpoints) Unreached(service chicoryhall.ServiceName) []chicoryhall.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	var unreached []chicoryhall.Listing
	for _, e := range l.entries {
		if e.listing.Service == service && !e.gone && !e.listing.Leaving && e.failures > 0 {
			unreached = append(unreached, e.listing)
		}
	}
	return unreached
}

// Reached ends the suspicion of an endpoint that has accepted a connection. Unlike progress, this does not show that it
// answers.
func (l *ListedEndpoints) Reached(id chicoryhall.EndpointID) {
	l.change(id, "accepts connections", func(e *listedEntry) {
		e.suspectUntil = time.Time{}
		e.failedAt = time.Time{}
		e.unreachableAt = time.Time{}
	})
}

// MarkUnreachable records that an endpoint has accepted no connection. One that is only held up would have: its system does.
func (l *ListedEndpoints) MarkUnreachable(id chicoryhall.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		e.unreachableAt = l.config.Timer.Now()
		l.startLimit(e, false, e.unreachableAt)
	}
}

// IsUnreachable reports whether an endpoint has accepted no connection and shown no progress since.
func (l *ListedEndpoints) IsUnreachable(id chicoryhall.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	return known && e.unreachableAt.After(e.lastProgress)
}
