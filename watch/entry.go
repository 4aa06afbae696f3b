package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// entry is what is believed of one endpoint.
type entry struct {
	address  string
	load     chicoryhall.Load
	inFlight int
	// leaving, suspect and dead are beliefs about the incarnation in load.
	leaving bool
	suspect bool
	dead    bool
	// failedAt is when the endpoint last failed to answer, by this daemon's clock.
	failedAt time.Time
	// clockOffset is the least delay seen from a report's time to its arrival.
	clockOffset time.Duration
	reported    bool
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

// report takes a load report that arrived at now.
func (e *entry) report(load chicoryhall.Load, now time.Time) {
	if e.reported && older(load, e.load) {
		return
	}
	if !e.reported || load.Incarnation > e.load.Incarnation {
		e.leaving = false
		e.failedAt = time.Time{}
		e.clockOffset = arrivalDelay(load, now)
	}
	e.clockOffset = min(e.clockOffset, arrivalDelay(load, now))
	e.load = load
	e.reported = true
	if load.State == chicoryhall.EndpointLeaving {
		e.leaving = true
	}
	if madeAt(load, e.clockOffset).After(e.failedAt) {
		e.suspect = load.State == chicoryhall.EndpointSuspect
		e.dead = load.State == chicoryhall.EndpointDead
	}
}

// older tells whether report a was made before report b.
func older(a, b chicoryhall.Load) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.AsOfMillis < b.AsOfMillis
}

func arrivalDelay(load chicoryhall.Load, now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(load.AsOfMillis))
}

// madeAt returns the latest time by this daemon's clock at which the report was made.
func madeAt(load chicoryhall.Load, clockOffset time.Duration) time.Time {
	return time.UnixMilli(load.AsOfMillis).Add(clockOffset)
}

// observe takes what this daemon's traffic showed at now.
func (e *entry) observe(observed chicoryhall.Observation, now time.Time) {
	switch observed {
	case chicoryhall.ObservedProgress:
		e.suspect = false
		e.dead = false
	case chicoryhall.ObservedRefusedConnection:
		e.dead = true
		e.failedAt = now
	case chicoryhall.ObservedSilence:
		e.suspect = true
		e.failedAt = now
	case chicoryhall.ObservedLeaving:
		e.leaving = true
	case chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow:
		// A new connection or the load reports decide; the router shifts load by itself.
	}
}
