package passthrough

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/routing"
	"chicoryhall.example/chicoryhall/stall"
)

// onNoRoute ends an exchange for which no route was found.
func (x *callerExchange) onNoRoute(err error) {
	if !lacksRoom(err) { // Endpoints are missing, which an outdated view may explain.
		x.config().OnStaleView()
		x.refusal = relay.ReplyUnable
	}
	if x.handOverWithoutRoute() || x.handOverUnsent() {
		return
	}
	if x.attempts > 0 {
		x.note(stall.OutcomeNoRoute)
	}
	reason := err.Error()
	verdict := x.finalVerdict(false)
	if verdict != exchange.VerdictNotRun {
		reason = "no endpoints to go on at: " + reason
	}
	x.endWithoutAnswer(verdict, x.retryAfterPause(retryAfterOf(err)), reason)
}

// finalVerdict returns the verdict on a request that is not sent again. It may be called before admission.
func (x *callerExchange) finalVerdict(running bool) exchange.Verdict {
	if x.machine == nil {
		return exchange.VerdictNotRun
	}
	return x.machine.FinalVerdict(running)
}

// endWithoutAnswer ends the exchange by its final verdict. A request that has not run may be sent again after the given time.
func (x *callerExchange) endWithoutAnswer(verdict exchange.Verdict, after time.Duration, reason string) {
	switch verdict {
	case exchange.VerdictCut:
		x.cutOff(reason)
	case exchange.VerdictNotRun:
		x.refuse(http.StatusServiceUnavailable, after, reason)
	default: // VerdictUnknown.
		x.answerError(http.StatusBadGateway, event.ExchangeFailed, reason)
	}
}

// retryAfterOf returns the time after which a request for which there is no route may be sent again. Other daemons may have
// a part of a limit left, so it is never long.
func retryAfterOf(err error) time.Duration {
	var limited *limitedError
	if errors.As(err, &limited) {
		return min(retryAfterNoRoute, max(minRetryAfterLimited, limited.after))
	}
	return retryAfterNoRoute
}

// lacksRoom reports whether a router's error means that there is a route but its endpoints are full.
func lacksRoom(err error) bool {
	var capacityErr interface {
		error
		LacksRoom() bool
	}
	return errors.As(err, &capacityErr) && capacityErr.LacksRoom()
}

// fail ends the attempt and applies the resulting verdict.
func (a *attempt) fail(failure exchange.Failure, cause error) {
	x := a.exchange
	if failure == exchange.FailureLost {
		a.reportLoss(a.lossCause)
	}
	a.end(true)
	a.logEnd(failure, cause)
	if x.leave(a, failure) {
		return
	}
	x.current, x.isReachTrial = nil, false
	// A suspect is not sent again at once: whether it caused a crash may be known when its caller returns.
	retryRefused := false
	verdict := x.machine.OnFailure(failure, func() bool {
		if a.isTrial() || x.machine.MayHaveRun() && !x.mayRunAgain() {
			return false
		}
		mayGo := a.mayGoElsewhere(failure)
		retryRefused = !mayGo && x.canContinue() && x.config().Timer.Now().Before(x.deadline)
		return mayGo
	})
	if verdict != exchange.VerdictAgain {
		x.note(x.denialOf(a, failure, retryRefused))
	}
	x.applyVerdict(verdict, a, cause)
}

// logEnd logs the end of an attempt that has given no complete answer.
func (a *attempt) logEnd(failure exchange.Failure, cause error) {
	x := a.exchange
	x.config().Log.Log(event.AttemptEnded, "request", x.callerHeaders.ID, "attempt", a.number, "failure", failure, "sent", a.isSent(),
		"route", routeText(a.route), "peer", a.peerID(), "connection", a.connectionText(), "answer", a.answerText(),
		"took", x.config().Timer.Now().Sub(a.startedAt), "error", cause)
}

// connectionText describes the connection that the request may have been sent on.
func (a *attempt) connectionText() string {
	conn := a.sending.connection()
	if conn == nil {
		return ""
	}
	return fmt.Sprintf("%s request %d", conn.socket.LocalAddr(), conn.requestCount())
}

// answerText describes what has come of the answer, and what it was taken to say.
func (a *attempt) answerText() string {
	if a.response == nil {
		return ""
	}
	return fmt.Sprintf("%d notRun=%t id=%s", a.response.StatusCode, a.answerHeaders.NotRun, a.answerHeaders.RequestID)
}

// mayRunAgain reports whether the rules of now allow a request that may have run to run once more. The rule under which it came may
// have been replaced since by one of a kind that must run once, or by a narrower one.
func (x *callerExchange) mayRunAgain() bool {
	table, known := x.config().Rules.Table()
	if !known || table.Version() == x.rulesVersion {
		return true
	}
	rule, found := table.Match(x.head.Host, routing.PathOf(x.head.URL))
	return !found || exchange.Config{Kind: rule.Kind, Resumable: rule.Resumable}.IsRepeatable()
}

// canContinue reports whether another attempt can go on with what the caller has got so far.
func (x *callerExchange) canContinue() bool {
	return !x.machine.IsAnswerStarted() || x.machine.MayJoinRuns() && x.events != nil && x.events.CanResume()
}

// takeRetry reports whether another attempt may start, and spends a retry for it.
func (x *callerExchange) takeRetry() bool {
	now := x.config().Timer.Now()
	if !now.Before(x.deadline) || x.server.shuttingDown.Load() {
		return false
	}
	taken := x.config().Retries.Take(x.service, now)
	x.config().Metrics.retryRequested(x.service, taken)
	return taken
}

// applyVerdict carries out the machine's verdict on a failed attempt.
func (x *callerExchange) applyVerdict(verdict exchange.Verdict, a *attempt, cause error) {
	switch verdict {
	case exchange.VerdictAgain:
		x.startAttempt()
	case exchange.VerdictNotRun:
		if x.handOverUnsent() {
			return
		}
		x.endWithoutAnswer(verdict, x.retryAfterPause(retryAfterRefused), "endpoints refused or were not reached: "+cause.Error())
	case exchange.VerdictPassOn:
		x.forwardAnswer(a)
	default: // VerdictCut and VerdictUnknown.
		x.endWithoutAnswer(verdict, 0, cause.Error())
	}
}

// handleRefusal handles an answer that says that the request did not run.
func (a *attempt) handleRefusal() {
	x := a.exchange
	refuser := a.route.Hops[0].Engine
	if a.answerHeaders.FailedAddress != "" {
		if id, known := x.config().Endpoints.ByAddress(a.answerHeaders.FailedAddress); known {
			refuser = id
		}
	}
	if len(x.held) > 0 {
		x.refused = append(x.refused, refuser)
	} else {
		x.excluded = append(x.excluded, refuser)
	}
	if a.answerHeaders.Misdirected {
		// Another endpoint answers at the address, or the endpoint lacks layers of the route. Until the view is
		// up to date, the endpoint is to get no work, like one that does not answer.
		x.config().OnStaleView()
		x.config().Endpoints.Observe(refuser, chicoryhall.ObservedSilence)
	} else {
		x.config().Endpoints.Observe(refuser, a.refusalOf(refuser))
	}
	a.fail(exchange.FailureRefused, errors.Errorf("endpoint %s refused with status %d", refuser, a.response.StatusCode))
}

// fullOccupancy is the believed occupancy from which on a later endpoint of a route that refuses counts as full. The belief may be too
// low, as requests of other failure domains are not told; progress there soon ends a false suspicion.
const fullOccupancy = 0.8

// refusalOf returns what a refusal shows of the endpoint that refuses. One behind the first of the route, which names it, may be
// out of reach or lack its layers. If it should have room, that is the likelier cause. The load of an endpoint in another failure domain
// is not known; whether it is out of reach or full, the other daemons of this domain are to avoid it for a while.
func (a *attempt) refusalOf(refuser chicoryhall.EndpointID) chicoryhall.Observation {
	if refuser == a.route.Hops[0].Engine {
		return chicoryhall.ObservedFull
	}
	endpoints := a.exchange.config().Endpoints
	view := endpoints.View(refuser)
	switch {
	case !endpoints.KnowsLoad(): // Nobody would end a false suspicion.
		return chicoryhall.ObservedFull
	case view.LoadTold && view.Occupancy >= fullOccupancy:
		return chicoryhall.ObservedFull
	default:
		return chicoryhall.ObservedUnavailable
	}
}

// handleConnectionFailure handles a connection that failed before the answer was complete; sent says whether
// bytes of the request may have gone out.
func (a *attempt) handleConnectionFailure(err error, sent bool) {
	if a.peer != nil {
		a.handlePeerFailure(err, sent)
		return
	}
	x := a.exchange
	first := a.route.Hops[0].Engine
	a.excludeFirst()
	if sent {
		x.config().Endpoints.Observe(first, chicoryhall.ObservedBrokenConnection)
		a.lossCause = quarantine.LossBroken
		a.fail(exchange.FailureLost, err)
		return
	}
	x.isUnsent = true
	observed := chicoryhall.ObservedSilence
	if errors.Is(err, syscall.ECONNREFUSED) {
		observed = chicoryhall.ObservedRefusedConnection
	}
	if errors.Is(err, net.ErrClosed) {
		// The new connection closed before the request was written, or this daemon is shutting down. Neither
		// shows that the endpoint is silent.
		observed = chicoryhall.ObservedBrokenConnection
	}
	x.config().Endpoints.Observe(first, observed)
	if observed == chicoryhall.ObservedSilence {
		x.config().Endpoints.MarkUnreachable(first)
		a.reportSilence()
	}
	x.server.pool.closeIdleConnections(a.route.Hops[0].Address)
	a.fail(exchange.FailureUnsent, err)
}
