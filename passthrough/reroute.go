package passthrough

import (
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/stall"
)

// A stream whose route has lost an engine need not run again: its first engine can go on with it on a route that has other engines in
// the place of those that were lost. Only these process the prompt again, so that the answer goes on sooner than that of a hedge, and
// no retry is spent.

const (
	// maxReroutes bounds the number of times that an attempt is moved. A request that crashes engines thus reaches few of them.
	maxReroutes = 2
	// maxRerouteOrders bounds the orders for one attempt, those that were not accepted included.
	maxRerouteOrders = 5
)

// rerouting is the state of an attempt's moves to other engines.
type rerouting struct {
	// orders is the number of orders that were sent, and moves that of those that were accepted. pending is set while one has not been
	// answered.
	orders, moves int
	pending       bool
	// unfit are the engines that lacked the layers or the room.
	unfit []chicoryhall.EndpointID
	// orderedAt is when the last order was sent.
	orderedAt time.Time
}

// lostHops returns the engines of the route that are out of service, or have probably failed as several streams are silent there.
func (a *attempt) lostHops(now time.Time) []chicoryhall.EndpointID {
	usual := a.exchange.server.progress.usualPause(a.exchange.service)
	return slices.Concat(a.suspectHops(), a.failedHops(usual, now))
}

// mayReroute reports whether the attempt may go on at other engines. Content that is suspected of crashing engines may not.
func (a *attempt) mayReroute() bool {
	x := a.exchange
	if x.config().Rerouter == nil || a.ended || a.mark == nil || len(a.route.Hops) < 2 || a.reroutes.pending {
		return false
	}
	if a.reroutes.moves >= maxReroutes || a.reroutes.orders >= maxRerouteOrders {
		return false
	}
	if x.rule.Kind != chicoryhall.ExchangeStream || !a.isSent() || a.response == nil || !a.isSuccess() {
		return false
	}
	standing := x.standing()
	return !a.isTrial() && standing.State == quarantine.StateFree && !standing.Blocked
}

// reroute replaces the engines of the route that have failed. It returns false if that is not possible; otherwise the answer to the
// order decides what happens next.
func (a *attempt) reroute(now time.Time) bool {
	failed := a.lostHops(now)
	if len(failed) == 0 || slices.Contains(failed, a.route.Hops[0].Engine) || !a.mayReroute() {
		return false
	}
	route, found := a.routeWithout(failed, now)
	if !found {
		return false
	}
	a.reportLoss(quarantine.LossSilent)
	a.reroutes.orders++
	a.reroutes.pending, a.reroutes.orderedAt = true, now
	x := a.exchange
	a.begin(route) // Other streams that are moved now are to take other engines.
	x.config().Metrics.rerouteOrdered()
	x.config().Rerouter.Reroute(x.callerHeaders.ID, route, func(result chicoryhall.RerouteResult) {
		x.conn.post(func() {
			if a.ended {
				a.endAt(route)
				return
			}
			a.onRerouted(route, failed, result)
		})
	})
	return true
}

// routeWithout returns a route that keeps the engines of this one but for some. The first one is the same.
func (a *attempt) routeWithout(failed []chicoryhall.EndpointID, now time.Time) (chicoryhall.Route, bool) {
	x := a.exchange
	document, known := x.config().Documents.Current(x.service)
	if !known {
		return chicoryhall.Route{}, false
	}
	exclude := slices.Concat(failed, a.reroutes.unfit, x.excluded, x.refused)
	first := a.route.Hops[0]
	route, err := x.config().Router.Choose(chicoryhall.RouteQuery{
		Document: document.Document, FailureDomain: x.config().FailureDomain, Positions: x.callerHeaders.PromptTokens,
		RemainingTokens: x.callerHeaders.AnswerTokens, Exclude: exclude, CachedHops: a.route.Hops, LastAttempt: a.number,
		WithinDomain: true, Now: now,
	})
	if err != nil || len(route.Hops) < 2 {
		return chicoryhall.Route{}, false
	}
	kept := route.Hops[0].Engine == first.Engine && route.Hops[0].From == first.From && route.Hops[0].To == first.To
	return route, kept
}

// onRerouted handles the answer to an order. If one engine was not fit, another order leaves it out.
func (a *attempt) onRerouted(route chicoryhall.Route, failed []chicoryhall.EndpointID, result chicoryhall.RerouteResult) {
	x := a.exchange
	now := x.config().Timer.Now()
	a.reroutes.pending = false
	x.config().Log.Log(event.AttemptRerouted, "request", x.callerHeaders.ID, "attempt", a.number, "accepted", result.Accepted, "failed", failed,
		"route", routeText(route), "silent", now.Sub(a.lastProgress), "took", now.Sub(a.reroutes.orderedAt), "error", result.Err)
	if result.Accepted {
		a.reroutes.moves++
		a.replaceRoute(route)
		a.lastProgress = now // The new engines get as much time as those of a new attempt.
		a.stalled, a.stallCause, a.checkAt = false, stall.CauseNone, time.Time{}
	} else {
		a.endAt(route)
		x.config().Metrics.rerouteFailed()
		a.excludeUnfit(result.Unfit)
	}
	if a.isHeld() {
		return
	}
	if !result.Accepted && (result.Unfit == "" || !a.reroute(now)) && a.stalled {
		a.seekHedge(now)
		return
	}
	x.checkTimer.wakeBy(a.dueAt())
}

// excludeUnfit excludes an engine that lacked the layers or the room from further orders for the attempt.
func (a *attempt) excludeUnfit(id chicoryhall.EndpointID) {
	if id == "" {
		return
	}
	a.reroutes.unfit = append(a.reroutes.unfit, id)
	a.exchange.config().Endpoints.Observe(id, chicoryhall.ObservedFull)
}

// begin counts the request at the engines of a route.
func (a *attempt) begin(route chicoryhall.Route) {
	for _, hop := range route.Hops {
		a.exchange.config().Endpoints.Begin(hop.Engine)
	}
}

// endAt counts the request at the engines of a route no longer.
func (a *attempt) endAt(route chicoryhall.Route) {
	for _, hop := range route.Hops {
		a.exchange.config().Endpoints.End(hop.Engine)
	}
}

// replaceRoute makes a route that the request is counted at the one of the attempt.
func (a *attempt) replaceRoute(route chicoryhall.Route) {
	a.endAt(a.route)
	a.route = route
	a.exchange.server.progress.move(a)
	a.stages = a.exchange.stagesOf(route)
}
