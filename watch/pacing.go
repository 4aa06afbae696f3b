package watch

import (
	"math/rand/v2"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/concurrency"
	"chicoryhall.example/chicoryhall/event"
)

const (
	// pacedSilence is how long this daemon's requests at an endpoint may show no progress while its limit rises.
	pacedSilence = 400 * time.Millisecond
	// busyShare is the part of the slots of a service's endpoints in this failure domain from which on they count as busy.
	busyShare = 0.6
	// advancePeriod is the time between two looks at all limits, as each look takes the time of several choices of a route.
	advancePeriod = 100 * time.Millisecond
)

// pacing keeps the concurrency limits of the endpoints. The lock of the ListedEndpoints guards it.
type pacing struct {
	limits *concurrency.Limits
	// isListed is set once the list has been read: endpoints in the first list were in service before this daemon started.
	isListed bool
	// daemons is the number of daemons in this failure domain, as of advancedAt.
	daemons    int
	advancedAt time.Time
	// busy holds the services whose endpoints in this failure domain are busy.
	busy map[chicoryhall.ServiceName]bool
}

func newPacing(enabled bool) *pacing {
	if !enabled {
		return nil
	}
	return &pacing{limits: concurrency.NewLimits(rand.Float64), busy: make(map[chicoryhall.ServiceName]bool)}
}

// flightOf returns what is in flight at an endpoint. The caller holds l.mu.
func (l *ListedEndpoints) flightOf(e *listedEntry, now time.Time) concurrency.Flight {
	return l.flightWith(e, l.slotsOf(e), e.expectedRequests(now), now)
}

// flightWith is flightOf for known numbers of slots and requests. The caller holds l.mu.
func (l *ListedEndpoints) flightWith(e *listedEntry, slots, expected float64, now time.Time) concurrency.Flight {
	since := e.busySince
	if e.lastProgress.After(since) {
		since = e.lastProgress
	}
	return concurrency.Flight{
		Slots: slots, Requests: expected, Daemons: l.domainDaemons(now), Busy: l.pacing.busy[e.listing.Service],
		Silent: e.inFlight > 0 && now.Sub(since) > pacedSilence,
	}
}

// domainDaemons returns the number of daemons in this failure domain. It is counted once in advancePeriod. The caller holds l.mu.
func (l *ListedEndpoints) domainDaemons(now time.Time) int {
	if l.pacing.daemons == 0 || now.Sub(l.pacing.advancedAt) >= advancePeriod {
		l.pacing.daemons = l.config.DomainDaemons()
	}
	return l.pacing.daemons
}

// limitOf returns the concurrency limit of an endpoint, and whether it is strict. The caller holds l.mu.
func (l *ListedEndpoints) limitOf(e *listedEntry, slots, expected float64, now time.Time) (limit float64, strict bool) {
	if l.pacing == nil {
		return slots, true
	}
	return l.pacing.limits.Current(e.listing.ID, l.flightWith(e, slots, expected, now), now)
}

// startLimit starts the limit of an endpoint anew: isListing says whether a listing shows its start, or it accepts no connection.
// The caller holds l.mu.
func (l *ListedEndpoints) startLimit(e *listedEntry, isListing bool, now time.Time) {
	if l.pacing != nil && l.pacing.isListed {
		l.pacing.limits.Start(e.listing.ID, l.flightOf(e, now), isListing, now)
	}
}

// applyListing stores the listing of an endpoint. A start or return of the endpoint starts its limit anew. The caller holds l.mu.
func (l *ListedEndpoints) applyListing(e *listedEntry, listing chicoryhall.Listing, now time.Time) {
	restarted := e.restartedBy(listing)
	e.setListing(listing, now)
	if restarted {
		l.startLimit(e, true, now)
		if l.pacing != nil {
			l.logLimits()
		}
	}
}

// markListed records that the first list has been read.
func (l *ListedEndpoints) markListed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pacing != nil {
		l.pacing.isListed = true
	}
}

// paceObserved applies an observation other than progress to the limit of an endpoint.
func (l *ListedEndpoints) paceObserved(id chicoryhall.EndpointID, observed chicoryhall.Observation, now time.Time) {
	if l.pacing == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known {
		return
	}
	switch limits := l.pacing.limits; observed {
	case chicoryhall.ObservedRefusedConnection:
		l.startLimit(e, false, now)
	case chicoryhall.ObservedSilence:
		limits.Failed(id, l.flightOf(e, now), true, now)
	case chicoryhall.ObservedBrokenConnection:
		limits.Failed(id, l.flightOf(e, now), false, now)
	case chicoryhall.ObservedFull, chicoryhall.ObservedUnavailable:
		if e.hasTold(now) || e.hasRecentReport(now) { // An estimate from this daemon's own requests does not tell how many were too many.
			limits.Refused(id, l.flightOf(e, now), now)
		}
	case chicoryhall.ObservedProgress, chicoryhall.ObservedSlow, chicoryhall.ObservedLeaving:
	}
	l.logLimits()
}

// FirstEvent records the time from the start of an attempt to the first event of its answer.
func (l *ListedEndpoints) FirstEvent(hops []chicoryhall.Hop, took, target time.Duration) {
	if l.pacing == nil {
		return
	}
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	route := make([]chicoryhall.EndpointID, 0, len(hops))
	for _, hop := range hops {
		if l.entries[hop.Engine] != nil {
			route = append(route, hop.Engine)
		}
	}
	if len(route) < len(hops) { // The route is of an earlier list.
		return
	}
	l.pacing.limits.FirstEvent(route, took, target, func(id chicoryhall.EndpointID) concurrency.Flight {
		return l.flightOf(l.entries[id], now)
	}, now)
	l.logLimits()
}

// advanceLimits lets the limits rise, also those of endpoints that this daemon does not look at for a while. The caller holds
// l.mu.
func (l *ListedEndpoints) advanceLimits(now time.Time) {
	if l.pacing == nil || now.Sub(l.pacing.advancedAt) < advancePeriod {
		return
	}
	l.pacing.advancedAt = now
	expected, slots := make(map[chicoryhall.ServiceName]float64), make(map[chicoryhall.ServiceName]float64)
	for _, e := range l.entries {
		if e.listing.FailureDomain == l.config.FailureDomain && e.state(now) == chicoryhall.EndpointReady {
			expected[e.listing.Service] += e.expectedRequests(now)
			slots[e.listing.Service] += l.slotsOf(e)
		}
	}
	for service, all := range slots {
		l.pacing.busy[service] = expected[service] > busyShare*all
	}
	for id, e := range l.entries {
		l.pacing.limits.Current(id, l.flightOf(e, now), now)
	}
	l.logLimits()
}

// logLimits logs the limits that have become low or have recovered. The caller holds l.mu.
func (l *ListedEndpoints) logLimits() {
	for _, change := range l.pacing.limits.TakeChanges() {
		if change.Recovered {
			l.config.Log.Log(event.ConcurrencyLimitRecovered, "endpoint", change.Endpoint, "slots", change.Slots)
			continue
		}
		l.config.Log.Log(event.ConcurrencyLimitLow, "endpoint", change.Endpoint, "cause", change.Cause, "limit", change.Limit, "slots", change.Slots)
	}
}

// ConcurrencyStats returns a snapshot of the concurrency limits.
func (l *ListedEndpoints) ConcurrencyStats() concurrency.Stats {
	if l.pacing == nil {
		return concurrency.Stats{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacing.limits.Stats()
}
