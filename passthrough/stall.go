package passthrough

import (
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
)

// stallTime returns when the attempt counts as stalled unless more of the answer arrives before. Only event
// streams stall; for other answers it is the deadline.
func (a *attempt) stallTime() time.Time {
	x := a.exchange
	if x.rule.Kind != chicoryhall.ExchangeStream {
		return x.deadline
	}
	maxPause := firstEventStallFactor * x.rule.TargetLatency
	if a.forwarding {
		maxPause = gapStallFactor * x.rule.TargetGap
	}
	stallTime := a.lastProgress.Add(max(minStallTime, maxPause))
	if x.deadline.Before(stallTime) {
		return x.deadline
	}
	return stallTime
}

// onDue fails the attempt if it has stalled.
func (a *attempt) onDue(now time.Time) {
	if stalledAt := a.stallTime(); now.Before(stalledAt) {
		a.exchange.checkTimer.wakeBy(stalledAt)
		return
	}
	a.suspectStalled(now)
	a.exchange.server.pool.closeIdleConnections(a.route.Hops[0].Address)
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s", now.Sub(a.lastProgress).Round(time.Millisecond)))
}

// suspectStalled makes those of the route's endpoints suspect that made no recent progress for any request,
// and excludes them from further attempts.
func (a *attempt) suspectStalled(now time.Time) {
	endpoints := a.exchange.config().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.LastProgress(hop.Engine)) > recentProgress {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.exchange.excluded = append(a.exchange.excluded, hop.Engine)
		}
	}
}

// excludeFirst excludes the first endpoint of the route, which answers for the whole route, from further
// attempts after its connection broke or its answer was an error. A failure of a later stage of a pipeline
// shows as a stall instead.
func (a *attempt) excludeFirst() {
	a.exchange.excluded = append(a.exchange.excluded, a.route.Hops[0].Engine)
}
