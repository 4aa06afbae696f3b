package passthrough

import (
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
)

// nextLook is when the attempt has stalled unless there is progress.
func (a *attempt) nextLook() time.Time {
	x := a.run
	if x.rule.Kind != chicoryhall.ExchangeStream {
		return x.deadline
	}
	allowed := firstStall * x.rule.TargetLatency
	if a.streaming {
		allowed = laterStall * x.rule.TargetGap
	}
	stalled := a.progress.Add(max(leastStall, allowed))
	if x.deadline.Before(stalled) {
		return x.deadline
	}
	return stalled
}

// onDue looks at whether the attempt has stalled.
func (a *attempt) onDue(now time.Time) {
	if look := a.nextLook(); now.Before(look) {
		a.run.look.set(look)
		return
	}
	a.blameStall(now)
	a.run.server.pool.forget(a.route.Hops[0].Address)
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s", now.Sub(a.progress).Round(time.Millisecond)))
}

// blameStall makes the endpoints suspect that have not shown progress to any request lately.
func (a *attempt) blameStall(now time.Time) {
	endpoints := a.run.parts().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.LastProgress(hop.Engine)) > provedAlive {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.run.tried = append(a.run.tried, hop.Engine)
		}
	}
}

// avoidFirst keeps further attempts away from the endpoint that answered: a part of a pipeline that
// fails further on shows as a stall, so the fault is its own.
func (a *attempt) avoidFirst() {
	a.run.tried = append(a.run.tried, a.route.Hops[0].Engine)
}
