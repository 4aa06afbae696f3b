package passthrough

import (
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
)

// stalledAt returns when the attempt counts as stalled unless more of the answer arrives before. Only event
// streams stall; for other answers it is when their endpoint is checked for silence, and then the deadline.
func (a *attempt) stalledAt() time.Time {
	x := a.exchange
	switch {
	case a.peer != nil: // Another daemon notices stalls itself.
		return x.deadline
	case x.rule.Kind != chicoryhall.ExchangeStream && a.silenceChecked:
		return x.deadline
	}
	maxPause := headStallFactor * x.rule.TargetLatency
	if a.forwarding {
		maxPause = gapStallFactor * x.rule.TargetGap
	}
	at := a.lastProgress.Add(max(minStallTime, maxPause))
	if x.deadline.Before(at) {
		return x.deadline
	}
	return at
}

// onDue fails the attempt if it has stalled.
func (a *attempt) onDue(now time.Time) {
	if at := a.stalledAt(); now.Before(at) {
		a.exchange.checkTimer.wakeBy(at)
		return
	}
	if a.exchange.rule.Kind != chicoryhall.ExchangeStream {
		a.checkSilence()
		return
	}
	a.suspectStalled(now)
	a.reportSilence()
	a.exchange.server.pool.closeIdleConnections(a.route.Hops[0].Address)
	a.lossCause = quarantine.LossSilent
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s", now.Sub(a.lastProgress).Round(time.Millisecond)))
}

// checkSilence reports that the endpoint is silent if nothing has come from it since the attempt began. The attempt goes on, as
// an answer that is not a stream may take long.
func (a *attempt) checkSilence() {
	a.silenceChecked = true
	a.exchange.checkTimer.wakeBy(a.stalledAt())
	first := a.route.Hops[0]
	if !a.exchange.config().Endpoints.LastProgress(first.Engine).After(a.startedAt) {
		a.exchange.config().Endpoints.Observe(first.Engine, chicoryhall.ObservedSilence)
		a.reportSilence()
		a.exchange.server.pool.closeIdleConnections(first.Address)
	}
}

// suspectStalled reports that the route's endpoints are silent and excludes them from further attempts, except for
// endpoints that recently made progress for any request.
func (a *attempt) suspectStalled(now time.Time) {
	endpoints := a.exchange.config().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.LastProgress(hop.Engine)) > recentProgress {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.exchange.excluded = append(a.exchange.excluded, hop.Engine)
		}
	}
}

// observeFirst reports an observation of the first endpoint of the route.
func (a *attempt) observeFirst(observed chicoryhall.Observation) {
	if a.peer == nil {
		a.exchange.config().Endpoints.Observe(a.route.Hops[0].Engine, observed)
	}
}

// excludeFirst excludes the first endpoint of the route, which answers for the whole route, from further
// attempts after its connection broke or its answer was an error. A failure of a later stage of a pipeline
// shows as a stall instead.
func (a *attempt) excludeFirst() {
	if a.peer != nil {
		return
	}
	a.exchange.excluded = append(a.exchange.excluded, a.route.Hops[0].Engine)
}
