package watch

import (
	"math/bits"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// maxUpdateInterval is the time after which peers get an endpoint's sighting again although nothing changed.
const maxUpdateInterval = 5 * time.Second

// entry is the state of one endpoint in a Watch.
type entry struct {
	// spec and documentLayers are what the service's document says of the endpoint.
	spec           chicoryhall.DocumentEndpoint
	documentLayers []chicoryhall.LayerRange
	load           chicoryhall.LoadReport
	inFlight       int
	// leaving applies to the incarnation in load. suspect and dead may be left from an earlier incarnation, until
	// applyReport or observe clears them.
	leaving bool
	suspect bool
	dead    bool
	// polled is set if this daemon polls the endpoint regularly: as one of its watchers, or because its hash collides.
	polled bool
	// suspectedLocally is set if only this daemon's own polls and requests made the endpoint suspect.
	suspectedLocally bool
	// lastFailure is when the endpoint last failed to answer, by this daemon's clock.
	lastFailure time.Time
	// clockOffset is the smallest clockDifference of the reports of this incarnation.
	clockOffset time.Duration
	// reported is set once load holds a report.
	reported bool
	// lastQueued is the last sighting for which an update to peers was queued.
	lastQueued   Sighting
	lastQueuedAt time.Time
	// incarnationSeenAt is when this daemon first heard of the incarnation.
	incarnationSeenAt time.Time
	// updatedAt is when load was last set.
	updatedAt time.Time
	nextPoll  time.Time
}

// state returns the endpoint's state. Dead takes precedence over leaving, leaving over suspect, and suspect
// over the state in the report. An endpoint without a report counts as loading.
func (e *entry) state() chicoryhall.EndpointState {
	switch {
	case e.dead:
		return chicoryhall.EndpointDead
	case e.leaving:
		return chicoryhall.EndpointLeaving
	case e.suspect:
		return chicoryhall.EndpointSuspect
	case !e.reported:
		return chicoryhall.EndpointLoading
	default:
		return e.load.State
	}
}

// needsExtraPoll reports whether this daemon has to poll an endpoint that it doesn't poll regularly: nothing
// is known of it yet, or only this daemon suspects it.
func (e *entry) needsExtraPoll() bool { return !e.reported || (e.suspect && e.suspectedLocally) }

// stateForPeers returns the state to tell peers. It omits a suspicion that only this daemon raised if it
// doesn't poll the endpoint regularly: the cause may be the network path from this daemon, and peers rely on
// the endpoint's watchers.
func (e *entry) stateForPeers() chicoryhall.EndpointState {
	state := e.state()
	if state == chicoryhall.EndpointSuspect && e.suspectedLocally && !e.polled && e.reported {
		return e.load.State
	}
	return state
}

// applyReport applies a load report that arrived at now, unless a newer one is known. A report that may have
// been made after the last failure ends the suspicion.
func (e *entry) applyReport(load chicoryhall.LoadReport, now time.Time) {
	if e.reported && isOlder(load, e.load) {
		return
	}
	e.setLoad(load, now)
	if load.State == chicoryhall.EndpointLeaving {
		e.leaving = true
	}
	if latestCreationTime(load, e.clockOffset).After(e.lastFailure) {
		e.suspect = false
		e.dead = false
	}
}

// setLoad stores a load report. A new incarnation clears leaving and forgets the last failure; suspect and dead
// are left to the caller.
func (e *entry) setLoad(load chicoryhall.LoadReport, now time.Time) {
	if !e.reported || load.Incarnation > e.load.Incarnation {
		e.leaving = false
		e.incarnationSeenAt = now
		e.lastFailure = time.Time{}
		e.clockOffset = clockDifference(load, now)
	}
	e.clockOffset = min(e.clockOffset, clockDifference(load, now))
	e.load = load
	e.reported = true
	e.updatedAt = now
}

// applySighting applies a peer's sighting of the endpoint, unless what is known is newer. Leaving is an
// exception: it counts for its incarnation even if the sighting is older.
func (e *entry) applySighting(s *Sighting, now time.Time) {
	load := e.loadFrom(s)
	switch s.State {
	case chicoryhall.EndpointSuspect, chicoryhall.EndpointDead:
		if e.reported && isOlder(load, e.load) {
			return
		}
		if !e.reported || load.Incarnation > e.load.Incarnation {
			load.State = chicoryhall.EndpointReady // The sender's suspicion is not part of the endpoint's report.
			e.setLoad(load, now)
		}
		e.fail(s.State == chicoryhall.EndpointDead, now)
		e.suspectedLocally = false
	case chicoryhall.EndpointLeaving:
		if !e.reported || load.Incarnation >= e.load.Incarnation {
			e.applyLeaving(load, now)
		}
	case chicoryhall.EndpointReady, chicoryhall.EndpointLoading:
		if !e.reported || isOlder(e.load, load) {
			e.applyReport(load, now)
		}
	}
}

// applyLeaving marks the endpoint as leaving even if the sighting is older than the known load.
func (e *entry) applyLeaving(load chicoryhall.LoadReport, now time.Time) {
	if !e.reported || isOlder(e.load, load) {
		e.setLoad(load, now)
	}
	e.leaving = true
}

// fail marks the endpoint as suspect, and also as dead if dead is set.
func (e *entry) fail(dead bool, now time.Time) {
	e.suspect = true
	e.dead = e.dead || dead
	e.lastFailure = now
}

// loadFrom returns the load report that corresponds to a sighting. KVUsed is in percent, with a KVCapacity of 100,
// because a sighting does not have the bytes.
func (e *entry) loadFrom(s *Sighting) chicoryhall.LoadReport {
	load := chicoryhall.LoadReport{
		Endpoint: e.spec.ID, Incarnation: s.Incarnation, State: s.State, Accelerator: e.spec.Accelerator,
		LoadedLayers: s.LoadedLayers, Running: s.Running, Waiting: s.Waiting,
		KVUsed: int64(s.KVPercent), KVCapacity: fullPercent, StepMicros: s.StepMicros, AsOfMillis: s.AsOfMillis,
	}
	if s.MatchesDocument {
		load.LoadedLayers = e.documentLayers
	}
	return load
}

// sighting returns the sighting to send to peers.
func (e *entry) sighting() Sighting {
	s := Sighting{
		Endpoint: hashOf(e.spec.ID), State: e.stateForPeers(), Incarnation: e.load.Incarnation, AsOfMillis: e.load.AsOfMillis,
		Running: e.load.Running, Waiting: e.load.Waiting, StepMicros: e.load.StepMicros,
		MatchesDocument: slices.Equal(e.load.LoadedLayers, e.documentLayers),
	}
	if e.load.KVCapacity > 0 {
		s.KVPercent = int(e.load.KVUsed * fullPercent / e.load.KVCapacity)
	}
	if !s.MatchesDocument {
		s.LoadedLayers = e.load.LoadedLayers
	}
	return s
}

// prepareUpdate reports whether an update to peers has to be queued, and if so, records it as queued. The update
// is urgent if the state, the incarnation or MatchesDocument has changed since the last queued one.
func (e *entry) prepareUpdate(now time.Time) (queue, urgent bool) {
	if !e.reported {
		return false, false
	}
	s := e.sighting()
	changed := s.State != e.lastQueued.State || s.Incarnation != e.lastQueued.Incarnation || s.MatchesDocument != e.lastQueued.MatchesDocument
	urgent = changed && !e.lastQueuedAt.IsZero() // The first update is not urgent: peers ask for endpoints unknown to them.
	queue = changed || loadLevel(s) != loadLevel(e.lastQueued) || now.Sub(e.lastQueuedAt) > maxUpdateInterval
	if queue {
		e.lastQueued = s
		e.lastQueuedAt = now
	}
	return queue, urgent
}

// loadLevel returns the bit length of the number of requests, so that peers get an update when the number has
// about doubled or halved.
func loadLevel(s Sighting) int { return bits.Len(uint(max(0, s.Running+s.Waiting))) }

// isOlder reports whether report a was made before report b.
func isOlder(a, b chicoryhall.LoadReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.AsOfMillis < b.AsOfMillis
}

// clockDifference returns now, by this daemon's clock, minus the time of the report, by the endpoint's clock.
// It is the difference between the clocks plus the time that the report took to arrive.
func clockDifference(load chicoryhall.LoadReport, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(load.AsOfMillis))
}

// latestCreationTime returns an upper bound, by this daemon's clock, for the time at which the report was
// made: clockOffset is at least the difference between the clocks.
func latestCreationTime(load chicoryhall.LoadReport, clockOffset time.Duration) time.Time {
	return time.UnixMilli(load.AsOfMillis).Add(clockOffset)
}

// observe applies what this daemon's traffic showed at now.
func (e *entry) observe(observed chicoryhall.Observation, now time.Time) {
	switch observed {
	case chicoryhall.ObservedProgress:
		e.suspect = false
		e.dead = false
	case chicoryhall.ObservedRefusedConnection:
		e.suspectedLocally = !e.suspect || e.suspectedLocally
		e.fail(true, now)
	case chicoryhall.ObservedSilence:
		e.suspectedLocally = !e.suspect || e.suspectedLocally
		e.fail(false, now)
	case chicoryhall.ObservedLeaving:
		e.leaving = true
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow, chicoryhall.ObservedFull, chicoryhall.ObservedUnavailable:
		// These don't change the state: a new connection or the next load report shows whether the endpoint
		// works, and the router shifts load by itself.
	}
}
