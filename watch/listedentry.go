package watch

import (
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// listedEntry is the state of one endpoint in a ListedEndpoints.
type listedEntry struct {
	listing chicoryhall.Listing
	// listedAt is when the endpoint was first listed at its address.
	listedAt time.Time
	// gone is set while the endpoint is not in use because it is not listed. The entry is kept until this daemon
	// has no requests there.
	gone bool
	// missingSince is when the endpoint went missing from the list during an outage of the platform, or zero. The
	// endpoint then stays in use and gone is not set, until it is listed again or dropMissing drops it.
	missingSince time.Time
	// said is what the endpoint has said of itself. It outlives the entry.
	said *statement
	// failures counts the consecutive failures that made the endpoint suspect.
	failures     int
	lastFailure  time.Time
	suspectUntil time.Time
	// weak is the suspicion by evidence that leaves the endpoint as a last resort.
	weak weakSuspicion
	// failedAt is when this daemon's traffic last showed a failure that it tells other daemons of, or zero.
	failedAt time.Time
	// ambiguousFailures holds the times of recent failures that may have a cause other than the endpoint.
	ambiguousFailures []time.Time
	// refusedAt is when the endpoint last refused a request for lack of room.
	refusedAt time.Time
	// unreachableAt is when the endpoint last accepted no connection, or zero.
	unreachableAt time.Time
	// loadRatio is the estimated ratio of all daemons' requests at the endpoint to this daemon's own. It is 0
	// if the endpoint has a recent report, which is used instead.
	loadRatio    float64
	lastProgress time.Time
	inFlight     int
	// busySince is when this daemon last sent a request there while it had none in flight.
	busySince time.Time
	// reportedRequests is the endpoint's last report of the number of its running requests.
	// inFlightAtReport is the value of inFlight at that time.
	reportedRequests int
	reportedAt       time.Time
	inFlightAtReport int
	// toldRequests is the number of requests that the other daemons of the failure domain have there, as they told at toldAt.
	toldRequests float64
	toldAt       time.Time
}

// setListing stores a listing. A restart of the endpoint clears its failures.
func (e *listedEntry) setListing(listing chicoryhall.Listing, now time.Time) {
	if e.listedAt.IsZero() || listing.Address != e.listing.Address {
		e.listedAt = now
	}
	restarted := e.restartedBy(listing)
	e.listing = listing
	e.gone = false
	e.missingSince = time.Time{}
	e.said.onListing(listing, now)
	if restarted {
		e.unreachableAt = time.Time{}
		e.clearFailures()
		e.ambiguousFailures = nil
	}
}

// clearFailures ends all suspicions.
func (e *listedEntry) clearFailures() {
	e.failures = 0
	e.suspectUntil = time.Time{}
	e.weak = weakSuspicion{}
	e.failedAt = time.Time{}
}

// restartedBy reports whether a listing shows that the endpoint has started anew.
func (e *listedEntry) restartedBy(listing chicoryhall.Listing) bool {
	return e.gone || listing.Incarnation != e.listing.Incarnation || listing.Address != e.listing.Address
}

// state returns the endpoint's state. Dead takes precedence over leaving, leaving over suspect, and suspect
// over ready.
func (e *listedEntry) state(now time.Time) chicoryhall.EndpointState {
	switch {
	case e.gone:
		return chicoryhall.EndpointDead
	case e.said.isLeaving(now) || e.listing.Leaving:
		return chicoryhall.EndpointLeaving
	case now.Before(e.suspectUntil) || now.Before(e.weak.until):
		return chicoryhall.EndpointSuspect
	default:
		return chicoryhall.EndpointReady
	}
}

// load returns the load of an endpoint that is expected to run the given number of requests, this
// daemon's own included; Running counts only those of other daemons.
func (e *listedEntry) load(expected float64) chicoryhall.LoadReport {
	return chicoryhall.LoadReport{
		Endpoint: e.listing.ID, Incarnation: e.listing.Incarnation, Accelerator: e.listing.Accelerator,
		LoadedLayers: e.listing.LoadedLayers, Running: max(0, int(expected)-e.inFlight),
	}
}

// hasRecentReport reports whether the endpoint's report of its running requests is recent enough to be used.
func (e *listedEntry) hasRecentReport(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= reportMaxAge
}

// hasTold reports whether other daemons have told of their requests at the endpoint recently.
func (e *listedEntry) hasTold(now time.Time) bool {
	return !e.toldAt.IsZero() && now.Sub(e.toldAt) <= toldMaxAge
}

// expectedRequests returns the estimated number of requests of all daemons at the endpoint.
func (e *listedEntry) expectedRequests(now time.Time) float64 {
	if e.hasTold(now) {
		return float64(e.inFlight) + e.toldRequests
	}
	if e.loadRatio == 0 {
		return e.requestsByReport()
	}
	return float64(e.inFlight) * e.loadRatio
}

// refusalWeight returns a weight that falls linearly from 1 to 0 after a refusal for lack of room.
func (e *listedEntry) refusalWeight(now time.Time) float64 {
	if e.refusedAt.IsZero() {
		return 0
	}
	return math.Max(0, 1-float64(now.Sub(e.refusedAt))/float64(refusalDecayTime))
}

// begin counts a request. The first one after a suspicion is a trial, during which the endpoint counts
// as suspect again.
func (e *listedEntry) begin(now time.Time) {
	if e.inFlight == 0 {
		e.busySince = now
	}
	e.inFlight++
	if e.failures > 0 && !now.Before(e.suspectUntil) {
		e.suspectUntil = now.Add(trialTime)
	}
	e.weak.begin(now)
}

func (e *listedEntry) hasFailed() bool {
	return e.failures > 0 || e.weak.failures > 0 || len(e.ambiguousFailures) > 0
}

// observe applies what this daemon's traffic showed at now.
func (e *listedEntry) observe(observed chicoryhall.Observation, now time.Time) {
	switch observed {
	case chicoryhall.ObservedProgress:
		e.clearFailures()
	case chicoryhall.ObservedRefusedConnection, chicoryhall.ObservedSilence:
		e.suspect(now)
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow:
		e.addAmbiguousFailure(now)
	case chicoryhall.ObservedLeaving:
		e.said.sayLeaving(e.listing.Incarnation, now)
	case chicoryhall.ObservedFull:
		e.refusedAt = now
	case chicoryhall.ObservedUnavailable:
		e.refusedAt = now
		e.weak.add(now, 0)
	}
}

// suspect makes the endpoint suspect for a time that doubles with each consecutive failure. Failures
// within half a trialTime of each other count as one: they are likely to have the same cause.
func (e *listedEntry) suspect(now time.Time) {
	if now.Sub(e.lastFailure) < trialTime/2 && now.Before(e.suspectUntil) {
		return
	}
	e.lastFailure = now
	e.suspectUntil = now.Add(min(maxSuspicion, minSuspicion<<min(e.failures, 8))) // Bounded to avoid an overflow.
	e.failures++
}

// addAmbiguousFailure counts a failure that may have a cause other than the endpoint, such as a lost answer.
func (e *listedEntry) addAmbiguousFailure(now time.Time) {
	e.ambiguousFailures = slices.DeleteFunc(e.ambiguousFailures, func(at time.Time) bool { return now.Sub(at) > ambiguousFailureMaxAge })
	e.ambiguousFailures = append(e.ambiguousFailures, now)
	if len(e.ambiguousFailures) >= ambiguousFailuresToSuspect {
		e.ambiguousFailures = nil
		e.suspect(now)
	}
}

// equalListings reports whether two listings are equal.
func equalListings(a, b chicoryhall.Listing) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Accelerator == b.Accelerator && a.Incarnation == b.Incarnation && a.Leaving == b.Leaving &&
		a.Slots == b.Slots && slices.Equal(a.LoadedLayers, b.LoadedLayers)
}
