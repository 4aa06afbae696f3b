package passthrough

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/stall"
)

// maxFailedHops is the number of endpoints that are reported as silent because of the common silence of several attempts. More
// of them say little of each one, as usually only one has failed.
const maxFailedHops = 2

// mayStallEarly reports whether the attempt can count as stalled before its silence time: only a stream that may run or go on
// elsewhere gains by that.
func (a *attempt) mayStallEarly() bool {
	x := a.exchange
	return a.mark != nil && !a.stalled && !a.isTrial() && x.rule.Kind == chicoryhall.ExchangeStream && (x.machine.MayHedge() || a.mayReroute())
}

// silentSince returns the time from which the silence of the attempt counts for an early stall. The target latency counts from the
// start of the attempt, also after the head.
func (a *attempt) silentSince() time.Time {
	if a.pieces == 0 {
		return a.startedAt
	}
	return a.lastProgress
}

const (
	// checkGrid is the grid of the times at which attempts are judged, so that the process wakes up once for many of them.
	checkGrid = 25 * time.Millisecond
	// firstCheck is the silence after which an attempt is first judged, unless an endpoint of its route becomes suspect. Usual pauses
	// are shorter, so most streams are never judged, and without news an earlier look hardly ever shows a stall.
	firstCheck = 130 * time.Millisecond
)

// nextCheck returns when the attempt is judged next, unless more of the answer arrives before.
func (a *attempt) nextCheck() time.Time {
	at := a.checkAt
	if !at.After(a.lastProgress) {
		at = a.silentSince().Add(firstCheck)
	}
	base := a.exchange.server.progress.base
	return base.Add((at.Sub(base) + checkGrid - 1) / checkGrid * checkGrid)
}

// onSuspectHop judges the attempt again, as an endpoint of its route has become suspect or dead.
func (a *attempt) onSuspectHop() {
	x := a.exchange
	if x.finished || a.isHeld() {
		return
	}
	now := x.config().Timer.Now()
	a.checkAt, a.hedgeSoughtAt = now, time.Time{}
	x.onDue(now)
}

// judge returns why the attempt counts as stalled early, or CauseNone. It sets when it has to be judged again.
func (a *attempt) judge(now time.Time) stall.Cause {
	if again, late := stall.IsLate(a.nextCheck(), now); late {
		a.checkAt = now.Add(again)
		return stall.CauseNone
	}
	usual := a.exchange.server.progress.usualPause(a.exchange.service)
	failed := a.failedHops(usual, now)
	stream := a.stallStream()
	stream.Usual, stream.CommonHop, stream.Suspect = usual, len(failed) > 0, len(a.suspectHops()) > 0
	since := a.silentSince()
	cause, next := stream.Judge(now.Sub(since))
	a.checkAt = since.Add(next)
	if cause == stall.CauseCommonHop && a.stallCause != cause && len(failed) <= maxFailedHops {
		for _, id := range failed {
			a.exchange.config().Endpoints.Observe(id, chicoryhall.ObservedSilence)
		}
	}
	return cause
}

// stallStream describes the attempt by its own answer.
func (a *attempt) stallStream() stall.Stream {
	s := stall.Stream{
		HasHead: a.forwarding, HasEvents: a.pieces > 0, TargetLatency: a.exchange.rule.TargetLatency, TargetGap: a.exchange.rule.TargetGap,
		ExpectedFirst: a.route.TimeToFirstToken, Pauses: max(0, a.pieces-1),
	}
	if a.mark != nil {
		s.Longest = time.Duration(a.mark.longest.Load())
	}
	return s
}

// failedHops returns the endpoints of the route that have probably failed, as several attempts there are silent.
func (a *attempt) failedHops(usual time.Duration, now time.Time) []chicoryhall.EndpointID {
	if a.pieces == 0 && a.stallCause == stall.CauseNone {
		return nil
	}
	failed := a.exchange.server.progress.failedHops(a.mark.hops, usual, now)
	return slices.DeleteFunc(failed, func(id chicoryhall.EndpointID) bool {
		return now.Sub(a.exchange.config().Endpoints.LastProgress(id)) < stall.MinStall
	})
}

// suspectHops returns the endpoints of the route that are suspect or dead, or accept no connection.
func (a *attempt) suspectHops() []chicoryhall.EndpointID {
	endpoints := a.exchange.config().Endpoints
	var suspect []chicoryhall.EndpointID
	for _, hop := range a.route.Hops {
		state := endpoints.View(hop.Engine).State
		if state == chicoryhall.EndpointSuspect || state == chicoryhall.EndpointDead || endpoints.IsUnreachable(hop.Engine) {
			suspect = append(suspect, hop.Engine)
		}
	}
	return suspect
}

// reportEarlyStall records that the attempt counts as stalled for a cause. Unlike reportStall, it makes no endpoint suspect, but for
// those that judge has found: a short silence says little of each. The report of the loss has them probed.
func (a *attempt) reportEarlyStall(cause stall.Cause, now time.Time) {
	if a.stallCause == cause {
		return
	}
	isFirst := a.stallCause == stall.CauseNone
	a.stallCause = cause
	a.excludeEarly(now)
	a.countStall(cause, isFirst, now)
	if isFirst {
		a.reportLoss(quarantine.LossSilent)
	}
}

// countStall logs and counts that the attempt counts as stalled for a cause.
func (a *attempt) countStall(cause stall.Cause, isFirst bool, now time.Time) {
	x := a.exchange
	x.config().Log.Log(event.AttemptStalled, "request", x.callerHeaders.ID, "attempt", a.number, "sent", a.isSent(), "route", routeText(a.route),
		"cause", cause, "silent", now.Sub(a.lastProgress), "left", x.deadline.Sub(now))
	x.config().Metrics.attemptStalled(cause, isFirst)
}

// excludeEarly excludes the endpoints from further attempts that are suspect or have probably failed. Where none is known,
// it excludes those without progress for any request in the later half of the silence, or else the first one.
func (a *attempt) excludeEarly(now time.Time) {
	for _, id := range a.lostHops(now) {
		a.excludeAsSilent(id)
	}
	if len(a.excludedAsSilent) > 0 {
		return
	}
	recent := now.Sub(a.silentSince()) / 2
	for _, hop := range a.route.Hops {
		if now.Sub(a.exchange.config().Endpoints.LastProgress(hop.Engine)) > recent {
			a.excludeAsSilent(hop.Engine)
		}
	}
	if len(a.excludedAsSilent) == 0 {
		a.excludeAsSilent(a.route.Hops[0].Engine)
	}
}

// recordPause records a pause between two pieces of a stream.
func (a *attempt) recordPause(now time.Time) {
	if a.mark == nil {
		return
	}
	board := &a.exchange.server.progress
	if pause := now.Sub(a.lastProgress); a.pieces > 0 {
		a.mark.longest.Store(max(a.mark.longest.Load(), int64(pause)))
		if a.exchange.rule.Kind == chicoryhall.ExchangeStream {
			board.addPause(a.exchange.service, pause)
		}
	}
	if a.forwarding && a.exchange.rule.Kind == chicoryhall.ExchangeStream { // The first piece of the body follows the head.
		a.mark.begun.Store(true)
	}
}

// markProgress records that the attempt is not silent now.
func (a *attempt) markProgress(now time.Time) {
	a.lastProgress = now
	if a.mark != nil {
		a.mark.last.Store(now.UnixNano())
	}
}

// reportOvertaken keeps the silence of an attempt that a hedge has overtaken as evidence, and reports the endpoints that have
// failed by it: the attempt ends before its silence time, which would show that.
func (a *attempt) reportOvertaken(now time.Time) {
	if a.mark == nil || a.stalled || a.stallCause == stall.CauseNone {
		return
	}
	board := &a.exchange.server.progress
	board.overtake(a.mark, now)
	failed := a.failedHops(board.usualPause(a.exchange.service), now)
	if len(failed) > maxFailedHops {
		return
	}
	for _, id := range failed {
		a.exchange.config().Endpoints.Observe(id, chicoryhall.ObservedSilence)
	}
}
