package watch

import (
	"math/bits"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// refreshTime is how long peers go without news of an endpoint whose load stays alike.
const refreshTime = 5 * time.Second

// entry is what is believed of one endpoint.
type entry struct {
	// wanted is the document's part on the endpoint, and what it shall hold.
	wanted   chicoryhall.DocumentEndpoint
	holdings []chicoryhall.LayerRange
	load     chicoryhall.LoadReport
	inFlight int
	// leaving, suspect and dead are beliefs about the incarnation in load.
	leaving bool
	suspect bool
	dead    bool
	// watched tells that this daemon polls the endpoint; local that only its own traffic raised the suspicion.
	watched bool
	local   bool
	// failedAt is when the endpoint last failed to answer, by this daemon's clock.
	failedAt time.Time
	// clockOffset is the least delay seen from a report's time to its arrival.
	clockOffset time.Duration
	reported    bool
	// told is what peers were last told.
	told   Sighting
	toldAt time.Time
	// startSeen is when this daemon first heard of the incarnation.
	startSeen time.Time
	// heardAt is when the figures were last renewed.
	heardAt  time.Time
	nextPoll time.Time
}

// state returns the strongest belief.
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

// mustAsk tells whether this daemon has to poll an endpoint that others watch.
func (e *entry) mustAsk() bool { return !e.reported || (e.suspect && e.local) }

// stateForPeers leaves out a suspicion that may be due to this daemon's own path to the endpoint.
func (e *entry) stateForPeers() chicoryhall.EndpointState {
	state := e.state()
	if state == chicoryhall.EndpointSuspect && e.local && !e.watched && e.reported {
		return e.load.State
	}
	return state
}

// report takes a load report that arrived at now.
func (e *entry) report(load chicoryhall.LoadReport, now time.Time) {
	if e.reported && older(load, e.load) {
		return
	}
	e.renew(load, now)
	if load.State == chicoryhall.EndpointLeaving {
		e.leaving = true
	}
	if madeAt(load, e.clockOffset).After(e.failedAt) {
		e.suspect = false
		e.dead = false
	}
}

// renew takes a report's figures; an endpoint that has started again loses what was believed of it.
func (e *entry) renew(load chicoryhall.LoadReport, now time.Time) {
	if !e.reported || load.Incarnation > e.load.Incarnation {
		e.leaving = false
		e.startSeen = now
		e.failedAt = time.Time{}
		e.clockOffset = arrivalDelay(load, now)
	}
	e.clockOffset = min(e.clockOffset, arrivalDelay(load, now))
	e.load = load
	e.reported = true
	e.heardAt = now
}

// hear takes what a peer believes.
func (e *entry) hear(s *Sighting, now time.Time) {
	load := e.loadOf(s)
	switch s.State {
	case chicoryhall.EndpointSuspect, chicoryhall.EndpointDead:
		if e.reported && older(load, e.load) {
			return
		}
		if !e.reported || load.Incarnation > e.load.Incarnation {
			load.State = chicoryhall.EndpointReady
			e.renew(load, now)
		}
		e.fail(s.State == chicoryhall.EndpointDead, now)
		e.local = false
	case chicoryhall.EndpointLeaving:
		if !e.reported || load.Incarnation >= e.load.Incarnation {
			e.leaveAs(load, now)
		}
	case chicoryhall.EndpointReady, chicoryhall.EndpointLoading:
		if !e.reported || older(e.load, load) {
			e.report(load, now)
		}
	}
}

// leaveAs believes a peer that the endpoint leaves, whatever the age of its figures.
func (e *entry) leaveAs(load chicoryhall.LoadReport, now time.Time) {
	if !e.reported || older(e.load, load) {
		e.renew(load, now)
	}
	e.leaving = true
}

func (e *entry) fail(dead bool, now time.Time) {
	e.suspect = true
	e.dead = e.dead || dead
	e.failedAt = now
}

// loadOf returns the report that a sighting stands for.
func (e *entry) loadOf(s *Sighting) chicoryhall.LoadReport {
	load := chicoryhall.LoadReport{
		Endpoint: e.wanted.ID, Incarnation: s.Incarnation, State: s.State, Accelerator: e.wanted.Accelerator,
		LoadedLayers: s.Holdings, Running: s.Running, Waiting: s.Waiting,
		KVUsed: int64(s.KVPercent), KVCapacity: fullPercent, StepMicros: s.StepMicros, AsOfMillis: s.AsOfMillis,
	}
	if s.AsDocument {
		load.LoadedLayers = e.holdings
	}
	return load
}

// sighting returns what peers are to be told.
func (e *entry) sighting() Sighting {
	s := Sighting{
		Endpoint: hashOf(e.wanted.ID), State: e.stateForPeers(), Incarnation: e.load.Incarnation, AsOfMillis: e.load.AsOfMillis,
		Running: e.load.Running, Waiting: e.load.Waiting, StepMicros: e.load.StepMicros,
		AsDocument: slices.Equal(e.load.LoadedLayers, e.holdings),
	}
	if e.load.KVCapacity > 0 {
		s.KVPercent = int(e.load.KVUsed * fullPercent / e.load.KVCapacity)
	}
	if !s.AsDocument {
		s.Holdings = e.load.LoadedLayers
	}
	return s
}

// news tells whether peers have to hear of a change, and whether at once.
func (e *entry) news(now time.Time) (isNews, urgent bool) {
	if !e.reported {
		return false, false
	}
	s := e.sighting()
	changed := s.State != e.told.State || s.Incarnation != e.told.Incarnation || s.AsDocument != e.told.AsDocument
	urgent = changed && !e.toldAt.IsZero() // Peers ask for what they do not know yet.
	isNews = changed || level(s) != level(e.told) || now.Sub(e.toldAt) > refreshTime
	if isNews {
		e.told = s
		e.toldAt = now
	}
	return isNews, urgent
}

// level puts loads that peers need not tell apart into one class.
func level(s Sighting) int { return bits.Len(uint(max(0, s.Running+s.Waiting))) }

// older tells whether report a was made before report b.
func older(a, b chicoryhall.LoadReport) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.AsOfMillis < b.AsOfMillis
}

func arrivalDelay(load chicoryhall.LoadReport, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(load.AsOfMillis))
}

// madeAt returns the latest time by this daemon's clock at which the report was made.
func madeAt(load chicoryhall.LoadReport, clockOffset time.Duration) time.Time {
	return time.UnixMilli(load.AsOfMillis).Add(clockOffset)
}

// observe takes what this daemon's traffic showed at now.
func (e *entry) observe(observed chicoryhall.Observation, now time.Time) {
	switch observed {
	case chicoryhall.ObservedProgress:
		e.suspect = false
		e.dead = false
	case chicoryhall.ObservedRefusedConnection:
		e.local = !e.suspect || e.local
		e.fail(true, now)
	case chicoryhall.ObservedSilence:
		e.local = !e.suspect || e.local
		e.fail(false, now)
	case chicoryhall.ObservedLeaving:
		e.leaving = true
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow, chicoryhall.ObservedFull:
		// A new connection or the load reports decide; the router shifts load by itself.
	}
}
