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
	// spec and wantedHoldings are what the service's document says of the endpoint.
	spec           chicoryhall.DocumentEndpoint
	wantedHoldings []chicoryhall.LayerRange
	load           chicoryhall.LoadReport
	inFlight       int
	// leaving, suspect and dead apply to the incarnation in load.
	leaving bool
	suspect bool
	dead    bool
	// polled is set if this daemon is one of the endpoint's watchers.
	polled bool
	// suspectedLocally is set if only this daemon's own traffic made the endpoint suspect.
	suspectedLocally bool
	// lastFailure is when the endpoint last failed to answer, by this daemon's clock.
	lastFailure time.Time
	// clockOffset is the smallest difference seen between a report's arrival, by this daemon's clock, and its
	// time, by the endpoint's clock.
	clockOffset time.Duration
	// reported is set once load holds a report.
	reported bool
	// lastSent is the sighting that was last queued for peers.
	lastSent   Sighting
	lastSentAt time.Time
	// incarnationSeenAt is when this daemon first heard of the incarnation.
	incarnationSeenAt time.Time
	// updatedAt is when load was last set.
	updatedAt time.Time
	nextPoll  time.Time
}

// state returns the endpoint's state: dead before leaving before suspect before the state in its report.
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

// needsOwnPoll reports whether this daemon has to poll an endpoint of which it is not a watcher: nothing
// is known of it yet, or only this daemon suspects it.
func (e *entry) needsOwnPoll() bool { return !e.reported || (e.suspect && e.suspectedLocally) }

// stateForPeers returns the state to tell peers. It omits a suspicion that only this daemon's traffic
// raised, as the network path from this daemon may be the cause.
func (e *entry) stateForPeers() chicoryhall.EndpointState {
	state := e.state()
	if state == chicoryhall.EndpointSuspect && e.suspectedLocally && !e.polled && e.reported {
		return e.load.State
	}
	return state
}

// applyReport applies a load report that arrived at now, unless a newer one is known.
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

// setLoad stores a load report. A new incarnation clears the state of the previous one.
func (e *entry) setLoad(load chicoryhall.LoadReport, now time.Time) {
	if !e.reported || load.Incarnation > e.load.Incarnation {
		e.leaving = false
		e.incarnationSeenAt = now
		e.lastFailure = time.Time{}
		e.clockOffset = arrivalDelay(load, now)
	}
	e.clockOffset = min(e.clockOffset, arrivalDelay(load, now))
	e.load = load
	e.reported = true
	e.updatedAt = now
}

// applySighting applies a peer's sighting of the endpoint.
func (e *entry) applySighting(s *Sighting, now time.Time) {
	load := e.loadFrom(s)
	switch s.State {
	case chicoryhall.EndpointSuspect, chicoryhall.EndpointDead:
		if e.reported && isOlder(load, e.load) {
			return
		}
		if !e.reported || load.Incarnation > e.load.Incarnation {
			load.State = chicoryhall.EndpointReady
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

// loadFrom returns the load report that corresponds to a sighting.
func (e *entry) loadFrom(s *Sighting) chicoryhall.LoadReport {
	load := chicoryhall.LoadReport{
		Endpoint: e.spec.ID, Incarnation: s.Incarnation, State: s.State, Accelerator: e.spec.Accelerator,
		LoadedLayers: s.Holdings, Running: s.Running, Waiting: s.Waiting,
		KVUsed: int64(s.KVPercent), KVCapacity: fullPercent, StepMicros: s.StepMicros, AsOfMillis: s.AsOfMillis,
	}
	if s.MatchesDocument {
		load.LoadedLayers = e.wantedHoldings
	}
	return load
}

// sighting returns the sighting to send to peers.
func (e *entry) sighting() Sighting {
	s := Sighting{
		Endpoint: hashOf(e.spec.ID), State: e.stateForPeers(), Incarnation: e.load.Incarnation, AsOfMillis: e.load.AsOfMillis,
		Running: e.load.Running, Waiting: e.load.Waiting, StepMicros: e.load.StepMicros,
		MatchesDocument: slices.Equal(e.load.LoadedLayers, e.wantedHoldings),
	}
	if e.load.KVCapacity > 0 {
		s.KVPercent = int(e.load.KVUsed * fullPercent / e.load.KVCapacity)
	}
	if !s.MatchesDocument {
		s.Holdings = e.load.LoadedLayers
	}
	return s
}

// takeUpdate reports whether peers need a new sighting, and whether urgently. If so, it records the
// current sighting as sent.
func (e *entry) takeUpdate(now time.Time) (send, urgent bool) {
	if !e.reported {
		return false, false
	}
	s := e.sighting()
	changed := s.State != e.lastSent.State || s.Incarnation != e.lastSent.Incarnation || s.MatchesDocument != e.lastSent.MatchesDocument
	urgent = changed && !e.lastSentAt.IsZero() // A first sighting is not urgent: peers ask for endpoints unknown to them.
	send = changed || loadLevel(s) != loadLevel(e.lastSent) || now.Sub(e.lastSentAt) > maxUpdateInterval
	if send {
		e.lastSent = s
		e.lastSentAt = now
	}
	return send, urgent
}

// loadLevel returns the binary order of magnitude of the number of requests; peers get no update for smaller
// changes.
func loadLevel(s Sighting) int { return bits.Len(uint(max(0, s.Running+s.Waiting))) }

// isOlder reports whether report a was made before report b.
func isOlder(a, b chicoryhall.LoadReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.AsOfMillis < b.AsOfMillis
}

// arrivalDelay returns the time from the making of a report, by the endpoint's clock, to now.
func arrivalDelay(load chicoryhall.LoadReport, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(load.AsOfMillis))
}

// latestCreationTime returns the latest time, by this daemon's clock, at which the report can have been made.
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
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow, chicoryhall.ObservedFull:
		// These don't change the state: a new connection or the next load report shows whether the endpoint
		// works, and the router shifts load by itself.
	}
}
