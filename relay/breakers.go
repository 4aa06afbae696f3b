package relay

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// silenceToOpen is the time without any progress at a service's endpoints before a daemon may be cut off from them.
	silenceToOpen = 600 * time.Millisecond
	// minProbePause is the time between two rounds of probes of a service's endpoints. It doubles up to maxProbePause with
	// each trial that failed although a probe had succeeded.
	minProbePause = time.Second
	maxProbePause = 8 * time.Second
	// trialTime is how long the trial of a service's endpoints may take to show progress.
	trialTime = 1500 * time.Millisecond
	// silentToOpen is the number of a service's endpoints that must have been silent, each to a request of its own and without
	// any progress in between. While another breaker is open, one is enough: a partition concerns all services.
	silentToOpen = 2
)

// Breakers are the circuit breakers of one daemon, one for each service. A breaker opens when the daemon finds no way to a
// service's endpoints although they are listed, and nothing has come from any of them lately. Requests are handed to other
// daemons then. Once a probe has reached an endpoint, single requests try the endpoints again, and any progress there closes
// the breaker. It is safe for concurrent use.
type Breakers struct {
	mu   sync.Mutex
	open map[chicoryhall.ServiceName]*breaker
	// silent holds what was silent since the last progress of services whose breakers are closed.
	silent map[chicoryhall.ServiceName]*silence
}

// silence holds the endpoints of a service that were silent since a time.
type silence struct {
	since     time.Time
	endpoints map[chicoryhall.EndpointID]bool
}

// breaker is an open circuit breaker.
type breaker struct {
	openedAt time.Time
	// reachedAt is when a probe succeeded, or zero. trialUntil is the end of the trial since then, or zero.
	reachedAt  time.Time
	trialUntil time.Time
	// failedTrials counts the trials that showed no progress, in a row.
	failedTrials int
}

// NewBreakers returns Breakers that are all closed.
func NewBreakers() *Breakers {
	return &Breakers{open: make(map[chicoryhall.ServiceName]*breaker), silent: make(map[chicoryhall.ServiceName]*silence)}
}

// Silent records that an endpoint of a service did not answer a request, although it may have accepted a connection. It opens
// the breaker after enough of them; opened reports that.
func (b *Breakers) Silent(service chicoryhall.ServiceName, endpoint chicoryhall.EndpointID, lastProgress, now time.Time) (opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[service] != nil {
		return false
	}
	known := b.silent[service]
	if known == nil || lastProgress.After(known.since) {
		known = &silence{since: now, endpoints: make(map[chicoryhall.EndpointID]bool)}
		b.silent[service] = known
	}
	known.endpoints[endpoint] = true
	if len(known.endpoints) < silentToOpen && len(b.open) == 0 || now.Sub(lastProgress) < silenceToOpen {
		return false
	}
	delete(b.silent, service)
	b.open[service] = &breaker{openedAt: now}
	return true
}

// Open opens the breaker of a service if there has been no progress at its endpoints since lastProgress, for long enough. It
// reports whether the breaker is open then, and whether it was closed before.
func (b *Breakers) Open(service chicoryhall.ServiceName, lastProgress, now time.Time) (isOpen, opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[service] != nil {
		return true, false
	}
	if now.Sub(lastProgress) < silenceToOpen {
		return false, false
	}
	b.open[service] = &breaker{openedAt: now}
	return true, true
}

// IsOpen reports whether the breaker of a service is open. Progress at an endpoint since it opened closes it; closed reports
// that.
func (b *Breakers) IsOpen(service chicoryhall.ServiceName, lastProgress func() time.Time) (isOpen, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.open[service]
	if one == nil {
		return false, false
	}
	if lastProgress().After(one.openedAt) {
		delete(b.open, service)
		return false, true
	}
	return true, false
}

// TakeTrial reports whether a request may try the endpoints of a service whose breaker is open, as a probe has reached one. One
// that may run only once does so only if no other has come for trialTime.
func (b *Breakers) TakeTrial(service chicoryhall.ServiceName, isRepeatable bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.open[service]
	switch {
	case one == nil || one.reachedAt.IsZero() || now.Before(one.trialUntil):
		return false
	case !one.trialUntil.IsZero(): // The trial before has shown nothing.
		one.reachedAt, one.trialUntil = time.Time{}, time.Time{}
		one.failedTrials++
		return false
	case !isRepeatable && now.Sub(one.reachedAt) < trialTime:
		return false
	}
	one.trialUntil = now.Add(trialTime)
	return true
}

// Probed records that a probe has reached an endpoint of a service.
func (b *Breakers) Probed(service chicoryhall.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if one := b.open[service]; one != nil && one.reachedAt.IsZero() {
		one.reachedAt, one.trialUntil = now, time.Time{}
	}
}

// ProbePause returns the time to the next round of probes of a service's endpoints, or false if its breaker is closed.
func (b *Breakers) ProbePause(service chicoryhall.ServiceName) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.open[service]
	if one == nil {
		return 0, false
	}
	return min(maxProbePause, minProbePause<<min(one.failedTrials, 8)), true // Bounded to avoid an overflow.
}

// Count returns the number of open breakers.
func (b *Breakers) Count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}
