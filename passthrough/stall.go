package passthrough

import (
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
)

// nextCheck returns when the attempt counts as stalled if it makes no progress until then, at the latest the
// deadline.
func (a *attempt) nextCheck() time.Time {
	x := a.run
	if x.rule.Kind != chicoryhall.ExchangeStream {
		return x.deadline
	}
	maxPause := firstEventStallFactor * x.rule.TargetLatency
	if a.streaming {
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
	if look := a.nextCheck(); now.Before(look) {
		a.run.checkTimer.wakeBy(look)
		return
	}
	a.suspectStalled(now)
	a.run.server.pool.closeIdle(a.route.Hops[0].Address)
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s", now.Sub(a.lastProgress).Round(time.Millisecond)))
}

// suspectStalled makes those of the route's endpoints suspect that made no recent progress for any request.
func (a *attempt) suspectStalled(now time.Time) {
	endpoints := a.run.config().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.LastProgress(hop.Engine)) > recentProgress {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.run.excluded = append(a.run.excluded, hop.Engine)
		}
	}
}

// excludeFirst excludes the endpoint that answered from further attempts. It is taken to be at fault itself:
// if a later stage of a pipeline fails, the answer stalls instead.
func (a *attempt) excludeFirst() {
	a.run.excluded = append(a.run.excluded, a.route.Hops[0].Engine)
}
