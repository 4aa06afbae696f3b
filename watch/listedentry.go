package watch

import (
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// listedEntry is what is believed of one endpoint of the platform's list.
type listedEntry struct {
	listing chicoryhall.Listing
	// gone tells that the endpoint is not listed; it is kept while this daemon has work there.
	gone bool
	// missingSince is when the endpoint went missing during an outage of the platform, or zero.
	missingSince time.Time
	// left tells that the endpoint itself showed that it is leaving.
	left bool
	// failures counts the failures in a row that made it suspect, until suspectUntil.
	failures     int
	failedAt     time.Time
	suspectUntil time.Time
	// strikes are the times of ambiguous failures.
	strikes []time.Time
	// refusedAt is when the endpoint last refused for want of room.
	refusedAt time.Time
	// scale is how many times this daemon's own work all daemons are taken to have there, or 0 where
	// the endpoint told it itself.
	scale      float64
	progressAt time.Time
	inFlight   int
	// reported is what the endpoint said is at it, when this daemon had inFlightThen there.
	reported     int
	reportedAt   time.Time
	inFlightThen int
}

// take takes a listing over; an endpoint that has started again loses what was believed of it.
func (e *listedEntry) take(listing chicoryhall.Listing) {
	restarted := e.gone || listing.Incarnation != e.listing.Incarnation || listing.Address != e.listing.Address
	e.listing = listing
	e.gone = false
	e.missingSince = time.Time{}
	if restarted {
		e.left = false
		e.failures = 0
		e.suspectUntil = time.Time{}
		e.strikes = nil
	}
}

// state returns the strongest belief.
func (e *listedEntry) state(now time.Time) chicoryhall.EndpointState {
	switch {
	case e.gone:
		return chicoryhall.EndpointDead
	case e.left || e.listing.Leaving:
		return chicoryhall.EndpointLeaving
	case now.Before(e.suspectUntil):
		return chicoryhall.EndpointSuspect
	default:
		return chicoryhall.EndpointReady
	}
}

// load returns the endpoint's load where so many requests are expected at it, with this daemon's
// own among them.
func (e *listedEntry) load(present float64) chicoryhall.LoadReport {
	return chicoryhall.LoadReport{
		Endpoint: e.listing.ID, Incarnation: e.listing.Incarnation, Accelerator: e.listing.Accelerator,
		LoadedLayers: e.listing.LoadedLayers, Running: max(0, int(present)-e.inFlight),
	}
}

// isReported tells whether the endpoint told lately what is at it.
func (e *listedEntry) isReported(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportLifetime
}

// present returns the number of requests that are expected at the endpoint, from all daemons.
func (e *listedEntry) present() float64 {
	if e.scale == 0 {
		return e.byReport()
	}
	return float64(e.inFlight) * e.scale
}

// refusedLevel falls from 1 to 0 after a refusal for want of room.
func (e *listedEntry) refusedLevel(now time.Time) float64 {
	if e.refusedAt.IsZero() {
		return 0
	}
	return math.Max(0, 1-float64(now.Sub(e.refusedAt))/float64(refusalMemory))
}

// begin counts a piece of work; the first one after a suspicion is a trial.
func (e *listedEntry) begin(now time.Time) {
	e.inFlight++
	if e.failures > 0 && !now.Before(e.suspectUntil) {
		e.suspectUntil = now.Add(trialTime)
	}
}

func (e *listedEntry) hasFailed() bool { return e.failures > 0 || len(e.strikes) > 0 }

// observe takes what this daemon's traffic showed at now.
func (e *listedEntry) observe(observed chicoryhall.Observation, now time.Time) {
	switch observed {
	case chicoryhall.ObservedProgress:
		e.failures = 0
		e.suspectUntil = time.Time{}
	case chicoryhall.ObservedRefusedConnection, chicoryhall.ObservedSilence:
		e.suspect(now)
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow:
		e.strike(now)
	case chicoryhall.ObservedLeaving:
		e.left = true
	case chicoryhall.ObservedFull:
		e.refusedAt = now
	}
}

// suspect keeps new work away for a time that doubles with each failure in a row; failures that come
// together count as one.
func (e *listedEntry) suspect(now time.Time) {
	if now.Sub(e.failedAt) < trialTime/2 && now.Before(e.suspectUntil) {
		return
	}
	e.failedAt = now
	e.suspectUntil = now.Add(min(longestSuspicion, firstSuspicion<<min(e.failures, 8)))
	e.failures++
}

// strike counts a failure that a single lost answer may explain.
func (e *listedEntry) strike(now time.Time) {
	e.strikes = slices.DeleteFunc(e.strikes, func(at time.Time) bool { return now.Sub(at) > strikeLifetime })
	e.strikes = append(e.strikes, now)
	if len(e.strikes) >= strikesToSuspect {
		e.strikes = nil
		e.suspect(now)
	}
}

// sameListing tells whether two listings say the same.
func sameListing(a, b chicoryhall.Listing) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Accelerator == b.Accelerator && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving &&
		a.Slots == b.Slots && slices.Equal(a.LoadedLayers, b.LoadedLayers)
}
