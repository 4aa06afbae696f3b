package passthrough

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/stall"
)

// The silence of an endpoint does not show whether it is dead or about to go on. An attempt that has stalled is therefore held
// while another one, the hedge, runs elsewhere. Whichever goes on with the answer first completes it, and the others end. Where
// no hedge may start, or it fails, the stalled attempt keeps its chance until the deadline.

var errOvertaken = errors.New("another attempt has gone on with the answer")

// startHedge starts a hedge beside the current attempt, which has stalled. It returns OutcomeHedge, or why there is none: the
// request may not run elsewhere, or there is no place or no retry for it now.
func (x *callerExchange) startHedge(now time.Time) stall.Outcome {
	if outcome := x.mayHedge(now); outcome != stall.OutcomeHedge {
		return outcome
	}
	x.isReachTrial = false // The stalled attempt may have been the trial; it has shown no way to the endpoints.
	if x.mustRelay() {
		if peer, found := x.takePeer(); found {
			return x.hedgeAtPeer(peer)
		}
	}
	document, known := x.config().Documents.Current(x.service)
	if !known {
		return stall.OutcomeNoRoute
	}
	route, err := x.chooseRoute(document.Document)
	if err != nil {
		if !lacksRoom(err) {
			x.config().OnStaleView()
		}
		return x.hedgeWithoutRoute()
	}
	if !x.takeRetry() {
		return stall.OutcomeNoRetry
	}
	x.holdCurrent()
	x.launch(route, x.standing(), false)
	return stall.OutcomeHedge
}

// mayHedge returns OutcomeHedge if the request may run elsewhere while the current attempt is kept, or why not. Content that is suspected of
// crashing endpoints may not: whether it has crashed this one may be known later. Nobody can go on with an answer without
// events that the caller has begun to get, or after an event without an ID.
func (x *callerExchange) mayHedge(now time.Time) stall.Outcome {
	if !x.canContinue() || !x.machine.MayHedge() || !x.mayRunAgain() {
		return stall.OutcomeNotAllowed
	}
	standing := x.standing()
	switch {
	case x.current.isTrial() || standing.State != quarantine.StateFree || standing.Blocked:
		return stall.OutcomeSuspectedContent
	case !now.Before(x.deadline) || x.lacksTime():
		return stall.OutcomeNoTime
	case !x.config().Retries.IsLeft(x.service, now):
		return stall.OutcomeNoRetry
	}
	left, allowed := x.config().Retries.Left(x.service, now)
	return stall.Retries{Left: left, Allowed: allowed}.MayHedge(x.current.stallCause, !x.hasRank || x.rank == 0)
}

// hedgeWithoutRoute starts a hedge at another daemon if there is no route as the endpoints are out of reach.
func (x *callerExchange) hedgeWithoutRoute() stall.Outcome {
	if !x.relays() || !x.config().Relays.NoRoute(x.service) {
		return stall.OutcomeNoRoute
	}
	peer, found := x.takePeer()
	if !found {
		return stall.OutcomeNoRoute
	}
	return x.hedgeAtPeer(peer)
}

// hedgeAtPeer starts a hedge at another daemon, as the endpoints are out of reach of this one.
func (x *callerExchange) hedgeAtPeer(peer relay.Peer) stall.Outcome {
	if !x.takeRetry() {
		x.config().Relays.Release(peer.ID, x.service, relay.OutcomeNone)
		return stall.OutcomeNoRetry
	}
	x.holdCurrent()
	x.sendToPeer(peer)
	return stall.OutcomeHedge
}

// holdCurrent holds the current attempt; another one becomes the current one next.
func (x *callerExchange) holdCurrent() {
	x.current.hedgedFor = x.current.stallCause
	x.held = append(x.held, x.current)
	x.machine.Hold()
	x.config().Metrics.hedgeStarted(x.current.hedgedFor)
}

// isHeld reports whether the attempt goes on beside the current one.
func (a *attempt) isHeld() bool { return a.exchange.current != a }

// goOn is called when the attempt goes on with the answer. All others end, and endpoints that had no room for a hedge may be
// tried again.
func (a *attempt) goOn() {
	x := a.exchange
	if len(x.held) == 0 {
		return
	}
	if a.isHeld() {
		x.config().Metrics.hedgeBehind(a.hedgedFor)
	} else {
		x.config().Metrics.hedgeAhead()
	}
	for _, other := range append(x.held, x.current) {
		if other != a {
			x.giveUp(other)
		}
	}
	x.current, x.held, x.refused = a, nil, nil
	x.checkTimer.wakeBy(a.dueAt())
}

// giveUp ends an attempt as another one has gone on with the answer. The other one remains the only one that is not counted as
// having ended.
func (x *callerExchange) giveUp(other *attempt) {
	other.end(true)
	other.reportOvertaken(x.config().Timer.Now())
	failure := other.overtakenAs()
	other.logEnd(failure, errOvertaken)
	if x.current == other {
		x.machine.DropCurrent(failure)
	}
}

// overtakenAs returns what the end of an attempt that another one has overtaken means for the count of runs.
func (a *attempt) overtakenAs() exchange.Failure {
	if !a.isSent() {
		return exchange.FailureUnsent
	}
	return exchange.FailureLost
}

// leave removes a failed attempt from the exchange if another one remains, and reports whether that is so. A further hedge
// then takes the place of a hedge that has failed.
func (x *callerExchange) leave(a *attempt, failure exchange.Failure) bool {
	switch {
	case a.isHeld():
		x.machine.DropHeld(failure)
		x.held = slices.DeleteFunc(x.held, func(other *attempt) bool { return other == a })
	case len(x.held) > 0:
		x.machine.DropCurrent(failure)
		last := len(x.held) - 1
		x.current, x.held = x.held[last], x.held[:last]
		x.isReachTrial = false
		x.current.seekHedge(x.config().Timer.Now())
	default:
		return false
	}
	return true
}

// seekHedge starts a hedge beside the stalled attempt, or looks again after hedgeSeekPeriod.
func (a *attempt) seekHedge(now time.Time) {
	a.hedgeSoughtAt = now
	if a.reroutes.pending || a.reroute(now) {
		a.exchange.checkTimer.wakeBy(now.Add(hedgeSeekPeriod))
		return
	}
	outcome := a.exchange.startHedge(now)
	a.exchange.note(outcome)
	if outcome == stall.OutcomeHedge {
		return
	}
	if id, found := a.unreachable(); found && a.stalled && len(a.exchange.held) == 0 {
		a.fail(exchange.FailureLost, errors.Errorf("no progress for %s, and %s accepts no connection", now.Sub(a.lastProgress), id))
		return
	}
	a.exchange.checkTimer.wakeBy(a.dueAt())
}

// unreachable returns the endpoint of the route that accepts no connection, which shows more than its silence. It returns none
// if the caller may not send the request again either: nothing is gained then by ending it.
func (a *attempt) unreachable() (chicoryhall.EndpointID, bool) {
	if !a.exchange.machine.IsRepeatable() {
		return "", false
	}
	for _, hop := range a.route.Hops {
		if a.exchange.config().Endpoints.IsUnreachable(hop.Engine) {
			return hop.Engine, true
		}
	}
	return "", false
}
