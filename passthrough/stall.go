package passthrough

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/stall"
)

// dueAt returns when the attempt is judged next unless more of the answer arrives before, or when a hedge is sought again.
// An answer that is no event stream stalls only if its endpoint is silent, which is checked once.
func (a *attempt) dueAt() time.Time {
	x := a.exchange
	switch {
	case a.peer != nil: // Another daemon notices stalls itself.
		return x.deadline
	case a.endpointWorks:
		return x.deadline
	}
	at := a.silentAt()
	switch {
	case a.stalled || a.stallCause != stall.CauseNone:
		at = earlier(at, a.hedgeSoughtAt.Add(hedgeSeekPeriod))
	case a.mayStallEarly():
		at = earlier(at, a.nextCheck())
	}
	return earlier(at, x.deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// silentAt returns when the attempt stalls in any case, or when its silence is reported again, unless more of the answer arrives
// before.
func (a *attempt) silentAt() time.Time {
	since := a.lastProgress
	if a.silenceReportedAt.After(since) {
		since = a.silenceReportedAt
	}
	return since.Add(a.stallStream().SilenceTime())
}

// onDue seeks a hedge if the attempt has stalled. One that is held back for its caller has not.
func (a *attempt) onDue(now time.Time) {
	if a.exchange.conn.holdsBack.Load() && !a.isHeld() {
		a.markProgress(now)
	}
	if at := a.dueAt(); now.Before(at) {
		a.exchange.checkTimer.wakeBy(at)
		return
	}
	if a.exchange.rule.Kind != chicoryhall.ExchangeStream && !a.isSilent() {
		a.endpointWorks = true
		a.exchange.checkTimer.wakeBy(a.dueAt())
		return
	}
	switch {
	case !now.Before(a.silentAt()):
		a.silenceReportedAt = now
		a.reportSilence()
		a.reportStall(now)
	case !a.stalled && !a.judgeEarly(now):
		a.exchange.checkTimer.wakeBy(a.dueAt())
		return
	}
	a.seekHedge(now)
}

// judgeEarly reports whether the attempt counts as stalled before its silence time, and reports the stall.
func (a *attempt) judgeEarly(now time.Time) bool {
	if !a.mayStallEarly() {
		return a.stallCause != stall.CauseNone
	}
	if cause := a.judge(now); cause > a.stallCause {
		a.reportEarlyStall(cause, now)
	}
	return a.stallCause != stall.CauseNone
}

// reportStall reports that the endpoints are silent and the attempt may be lost, once for each stall. The trial of a suspect
// proves no more than that, so its endpoints are released.
func (a *attempt) reportStall(now time.Time) {
	if a.stalled {
		return
	}
	isFirst := a.stallCause == stall.CauseNone
	a.stalled, a.stallCause = true, stall.CauseSilence
	a.suspectStalled(now)
	a.exchange.server.pool.closeIdleConnections(a.route.Hops[0].Address)
	a.countStall(stall.CauseSilence, isFirst, now)
	if isFirst {
		a.reportLoss(quarantine.LossSilent)
	}
	a.endTrial(a.trialOutcome())
}

// isSilent reports whether nothing has come from the endpoint, for any request, since the attempt began. An answer that is not
// a stream may take long, so that its own silence shows nothing.
func (a *attempt) isSilent() bool {
	return !a.exchange.config().Endpoints.LastProgress(a.route.Hops[0].Engine).After(a.startedAt)
}

// suspectStalled reports that the route's endpoints are silent and excludes them from further attempts, except for
// endpoints that recently made progress for any request. If all have, it excludes the first one, as a hedge on the same route
// is no other way.
func (a *attempt) suspectStalled(now time.Time) {
	endpoints := a.exchange.config().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.LastProgress(hop.Engine)) > recentProgress {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.excludeAsSilent(hop.Engine)
		}
	}
	if len(a.excludedAsSilent) == 0 {
		a.excludeAsSilent(a.route.Hops[0].Engine)
	}
}

// excludeAsSilent excludes an endpoint from further attempts until this one goes on.
func (a *attempt) excludeAsSilent(id chicoryhall.EndpointID) {
	x := a.exchange
	if !slices.Contains(x.excluded, id) && !slices.Contains(x.silent, id) {
		x.silent = append(x.silent, id)
		a.excludedAsSilent = append(a.excludedAsSilent, id)
	}
}

// endStall is called when more of the answer arrives. It admits the endpoints again that were excluded as silent, and those
// that had no room for a hedge.
func (a *attempt) endStall(now time.Time) {
	a.recordPause(now)
	if a.stallCause == stall.CauseNone {
		return
	}
	x := a.exchange
	x.silent = slices.DeleteFunc(x.silent, func(id chicoryhall.EndpointID) bool { return slices.Contains(a.excludedAsSilent, id) })
	x.config().Log.Log(event.AttemptWentOn, "request", x.callerHeaders.ID, "attempt", a.number, "route", routeText(a.route),
		"cause", a.stallCause, "silent", now.Sub(a.lastProgress))
	a.stalled, a.stallCause, a.excludedAsSilent = false, stall.CauseNone, nil
	if a.isSuccess() {
		x.refused = nil
		x.machine.MarkWentOn()
	}
}

// reportFirstEvent reports how long the first event of a stream took.
func (a *attempt) reportFirstEvent(now time.Time) {
	if a.peer == nil && a.isSuccess() && a.exchange.rule.Kind == chicoryhall.ExchangeStream {
		a.exchange.config().Endpoints.FirstEvent(a.route.Hops, now.Sub(a.startedAt), a.exchange.rule.TargetLatency)
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
