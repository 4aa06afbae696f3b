package requests

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/stream"
)

const (
	// reservationPollPeriod is how often a request that must wait for a reservation of engines asks
	// again.
	reservationPollPeriod = 25 * time.Millisecond
	// unroutableGrace is how long a request that was already running waits for a route, asking
	// every unroutablePollPeriod. While endpoints fail their states change, and giving up would
	// lose the answer so far.
	unroutableGrace      = 2 * time.Second
	unroutablePollPeriod = 50 * time.Millisecond
	// probationTokens is the number of tokens that a request must generate under a reservation for
	// its fingerprint to be cleared.
	probationTokens = 1
	// crashFreeTokens is the number of tokens after which a request is not suspected if an engine
	// that runs it breaks, because it did not crash the engine for that long.
	crashFreeTokens = 2
)

// chooseRoute asks the retry budget, the router and the quarantine, in this order, and passes the
// route to the machine.
func (r *Request) chooseRoute(action *stream.Action) {
	// A reservation for the previous attempt is not returned here, because a crash of that attempt
	// must still be attributed to it. The next Quarantine.Begin first reports such a crash and then
	// replaces the reservation.
	if action.Recovery && !r.allowRecovery(action.Reason) {
		return
	}
	r.findRoute(*action, nil)
}

// allowRecovery counts a recovery and reports whether it is allowed. Only if the last endpoint
// refused the request does this take a retry from the budget. After a failure the retry is free,
// because it only replaces work that was done by an endpoint that no longer works. (Requests to
// plain services take a retry in both cases, see tryEndpoints.)
func (r *Request) allowRecovery(cause stream.Reason) bool {
	r.timing.beginRecovery()
	r.config().Metrics.recoveries(r.record.Service).Inc()
	if cause != stream.ReasonEndpointRefused {
		return true
	}
	allowed, retryAfter := r.config().RetryBudgets.Take(r.record.Service)
	if !allowed {
		r.postInput(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonRetryBudget, RetryAfter: retryAfter})
	}
	return allowed
}

// findRoute chooses a route and asks the quarantine about the stages that need new KV.
// Engines that are reserved for suspects are used only if there is no route without them;
// reservedByOthers are those that the quarantine named in its last answer.
func (r *Request) findRoute(action stream.Action, reservedByOthers []chicoryhall.EndpointID) {
	if r.ended.Load() {
		return
	}
	route, err := r.routeAvoiding(action, append(r.config().Quarantine.ReservedEngines(), reservedByOthers...))
	if err != nil {
		r.onUnroutable(action, err)
		return
	}
	r.unroutableSince = time.Time{}
	r.config().Quarantine.Begin(r.record.ID, r.contentFingerprint, stagesWithNewKV(route.Hops), func(answer quarantine.Answer) {
		r.post(message{run: func() { r.onQuarantineAnswer(action, route, answer) }})
	})
}

// onUnroutable ends a request for which there is no route; one that was already running first waits
// for unroutableGrace.
func (r *Request) onUnroutable(action stream.Action, cause error) {
	now := r.config().Timer.Now()
	if r.unroutableSince.IsZero() {
		r.unroutableSince = now
		r.config().Log.Log(event.RequestUnroutable, "request", r.record.ID, "error", cause)
	}
	if action.Recovery && now.Sub(r.unroutableSince) < unroutableGrace {
		r.findRouteAfter(unroutablePollPeriod, action, nil)
		return
	}
	r.unroutableSince = time.Time{}
	r.postInput(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonNoRoute})
}

// findRouteAfter calls findRoute after a delay.
func (r *Request) findRouteAfter(delay time.Duration, action stream.Action, reservedByOthers []chicoryhall.EndpointID) {
	r.config().Timer.After(delay, func(time.Time) {
		r.post(message{run: func() { r.findRoute(action, reservedByOthers) }})
	})
}

// routeAvoiding chooses a route without the engines to avoid, or, if there is none, with them. The
// engines of CachedHops are used even if they are to be avoided.
func (r *Request) routeAvoiding(action stream.Action, avoid []chicoryhall.EndpointID) (chicoryhall.Route, error) {
	query := r.routeQuery(action.Exclude, action.CachedHops, action.Attempt)
	avoid = slices.DeleteFunc(avoid, func(id chicoryhall.EndpointID) bool { return containsEngine(action.CachedHops, id) })
	if len(avoid) == 0 {
		return r.config().Router.Choose(query)
	}
	query.Exclude = slices.Concat(action.Exclude, avoid)
	if route, err := r.config().Router.Choose(query); err == nil {
		return route, nil
	}
	query.Exclude = action.Exclude
	return r.config().Router.Choose(query)
}

// stagesWithNewKV returns the stages of a route that do not continue with their own KV of an earlier
// attempt. Their engines may still have run an earlier attempt.
func stagesWithNewKV(hops []chicoryhall.Hop) []chicoryhall.Hop {
	return slices.DeleteFunc(slices.Clone(hops), func(h chicoryhall.Hop) bool { return h.ReuseKV })
}

// onQuarantineAnswer continues with the quarantine's answer.
func (r *Request) onQuarantineAnswer(action stream.Action, route chicoryhall.Route, answer quarantine.Answer) {
	switch answer.Decision {
	case quarantine.DecisionRefuse:
		r.config().Log.Log(event.RequestQuarantined, "request", r.record.ID, "fingerprint", r.contentFingerprint)
		r.postInput(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonQuarantined})
	case quarantine.DecisionWait:
		r.findRouteAfter(reservationPollPeriod, action, answer.Busy)
	case quarantine.DecisionReserved:
		r.reserved = true
		r.probationEnd = len(r.machine.Tokens()) + probationTokens
		r.postInput(stream.Input{Kind: stream.InputRouted, Route: route})
	case quarantine.DecisionFree:
		r.postInput(stream.Input{Kind: stream.InputRouted, Route: route})
	}
}

// checkProbation clears a suspect that has generated enough tokens.
func (r *Request) checkProbation() {
	if r.reserved && len(r.machine.Tokens()) >= r.probationEnd {
		r.reserved = false
		r.config().Quarantine.Passed(r.record.ID, r.contentFingerprint)
	}
}

// endProbation clears a suspect that was answered completely, and otherwise returns its
// reservation.
func (r *Request) endProbation(outcome chicoryhall.Outcome) {
	if !r.reserved {
		return
	}
	r.reserved = false
	if outcome == chicoryhall.OutcomeAnswered {
		r.config().Quarantine.Passed(r.record.ID, r.contentFingerprint)
		return
	}
	r.config().Quarantine.End(r.record.ID, r.contentFingerprint)
}

// onFirstStageBroken reports to the quarantine that the connection of an attempt broke.
func (r *Request) onFirstStageBroken(attempt int) {
	if attempt == r.machine.Attempt() && len(r.inFlightHops) > 0 {
		r.reportCrash(r.inFlightHops[0].Engine)
	}
}

// reportCrash reports to the quarantine that the connection to a stage broke while it ran the
// request. It does not do so if the attempt has generated crashFreeTokens: otherwise every request
// on an engine that was killed would become a suspect, and most of them would wait for a
// reservation of engines.
func (r *Request) reportCrash(id chicoryhall.EndpointID) {
	if len(r.machine.Tokens())-r.tokensAtOpen >= crashFreeTokens {
		return
	}
	for _, hop := range r.inFlightHops {
		if hop.Engine == id {
			r.config().Quarantine.Crashed(r.contentFingerprint, hop)
		}
	}
}
