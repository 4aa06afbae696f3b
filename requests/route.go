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
	// reservationPoll is the time after which a suspect asks again for engines of its own.
	reservationPoll = 25 * time.Millisecond
	// unroutableGrace is how long a request that has run waits for endpoints, asking every
	// unroutablePoll: states change while endpoints fail, and giving up loses its answer.
	unroutableGrace = 2 * time.Second
	unroutablePoll  = 50 * time.Millisecond
	// probationTokens is the number of tokens behind a crash that clear a suspect.
	probationTokens = 1
	// innocentTokens is the number of tokens on an endpoint that show that the request does not
	// crash it.
	innocentTokens = 2
)

// chooseRoute asks the retry budget, the router and the quarantine, and answers the machine.
func (r *Request) chooseRoute(action *stream.Action) {
	// The reservation of the attempt before stands until the quarantine has heard of its end.
	if action.Recovery && !r.mayRetry(action.Reason) {
		return
	}
	r.place(*action, nil)
}

// mayRetry asks the retry budget. Replacing a lost endpoint spends nothing: it gets no more work.
func (r *Request) mayRetry(cause stream.Reason) bool {
	r.timing.recovering()
	r.parts().Metrics.recoveries(r.record.Service).Inc()
	if cause != stream.ReasonEndpointRefused {
		return true
	}
	allowed, retryAfter := r.parts().RetryBudgets.Take(r.record.Service)
	if !allowed {
		r.answer(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonRetryBudget, RetryAfter: retryAfter})
	}
	return allowed
}

// place chooses a route, off the busy engines and those of suspects if possible, and asks the
// quarantine for its new stages.
func (r *Request) place(action stream.Action, busy []chicoryhall.EndpointID) {
	if r.ended.Load() {
		return
	}
	route, err := r.routeAvoiding(action, append(r.parts().Quarantine.ReservedEngines(), busy...))
	if err != nil {
		r.unroutable(action, err)
		return
	}
	r.unroutableSince = time.Time{}
	r.parts().Quarantine.Begin(r.record.ID, r.content, newStages(route.Hops), func(answer quarantine.Answer) {
		r.post(message{call: func() { r.decided(action, route, answer) }})
	})
}

// unroutable gives a request up that no endpoints can run; one that has run waits a little first.
func (r *Request) unroutable(action stream.Action, cause error) {
	now := r.parts().Timer.Now()
	if r.unroutableSince.IsZero() {
		r.unroutableSince = now
		r.parts().Log.Log(event.RequestUnroutable, "request", r.record.ID, "error", cause)
	}
	if action.Recovery && now.Sub(r.unroutableSince) < unroutableGrace {
		r.placeAfter(unroutablePoll, action, nil)
		return
	}
	r.unroutableSince = time.Time{}
	r.answer(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonNoRoute})
}

// placeAfter chooses a route again after a delay.
func (r *Request) placeAfter(delay time.Duration, action stream.Action, busy []chicoryhall.EndpointID) {
	r.parts().Timer.After(delay, func(time.Time) {
		r.post(message{call: func() { r.place(action, busy) }})
	})
}

// routeAvoiding chooses a route without the engines to avoid, or else with them; stages that are
// kept are not avoided.
func (r *Request) routeAvoiding(action stream.Action, avoid []chicoryhall.EndpointID) (chicoryhall.Route, error) {
	query := r.routeQuery(action.Exclude, action.CachedHops, action.Attempt)
	avoid = slices.DeleteFunc(avoid, func(id chicoryhall.EndpointID) bool { return keeps(action.CachedHops, id) })
	if len(avoid) == 0 {
		return r.parts().Router.Choose(query)
	}
	query.Exclude = slices.Concat(action.Exclude, avoid)
	if route, err := r.parts().Router.Choose(query); err == nil {
		return route, nil
	}
	query.Exclude = action.Exclude
	return r.parts().Router.Choose(query)
}

// newStages are the stages of a route that have not run the request before.
func newStages(hops []chicoryhall.Hop) []chicoryhall.Hop {
	return slices.DeleteFunc(slices.Clone(hops), func(h chicoryhall.Hop) bool { return h.ReuseKV })
}

// decided goes on with the quarantine's answer.
func (r *Request) decided(action stream.Action, route chicoryhall.Route, answer quarantine.Answer) {
	switch answer.Decision {
	case quarantine.DecisionRefuse:
		r.parts().Log.Log(event.RequestQuarantined, "request", r.record.ID, "fingerprint", r.content)
		r.answer(stream.Input{Kind: stream.InputUnroutable, Reason: stream.ReasonQuarantined})
	case quarantine.DecisionWait:
		r.placeAfter(reservationPoll, action, answer.Busy)
	case quarantine.DecisionReserved:
		r.reserved = true
		r.probationEnd = len(r.machine.Tokens()) + probationTokens
		r.answer(stream.Input{Kind: stream.InputRouted, Route: route})
	case quarantine.DecisionFree:
		r.answer(stream.Input{Kind: stream.InputRouted, Route: route})
	}
}

// probationStep clears a suspect that has generated enough tokens.
func (r *Request) probationStep() {
	if r.reserved && len(r.machine.Tokens()) >= r.probationEnd {
		r.reserved = false
		r.parts().Quarantine.Passed(r.record.ID, r.content)
	}
}

// endProbation clears a suspect that was answered in full, and gives its reservation back otherwise.
func (r *Request) endProbation(outcome chicoryhall.Outcome) {
	if !r.reserved {
		return
	}
	r.reserved = false
	if outcome == chicoryhall.OutcomeAnswered {
		r.parts().Quarantine.Passed(r.record.ID, r.content)
		return
	}
	r.parts().Quarantine.End(r.record.ID, r.content)
}

// firstStageBroke tells the quarantine that the connection of an attempt broke.
func (r *Request) firstStageBroke(attempt int) {
	if attempt == r.machine.Attempt() && len(r.counted) > 0 {
		r.crashed(r.counted[0].Engine)
	}
}

// crashed tells the quarantine of a stage that broke while the request was on it. A request that
// has generated tokens there is no suspect: making one of every stream on a killed engine would
// let most of them wait for engines of their own.
func (r *Request) crashed(id chicoryhall.EndpointID) {
	if len(r.machine.Tokens())-r.openedWith >= innocentTokens {
		return
	}
	for _, hop := range r.counted {
		if hop.Engine == id {
			r.parts().Quarantine.Crashed(r.content, hop)
		}
	}
}
