package passthrough

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// limitedError says that there is no route because of the limits that endpoints state.
type limitedError struct {
	cause error
	// after is the time until this daemon may send a request to one of these endpoints.
	after time.Duration
}

// Error returns the text of the router's error, with the reason.
func (e *limitedError) Error() string {
	return "endpoints take no more requests now: " + e.cause.Error()
}

// Unwrap returns the router's error.
func (e *limitedError) Unwrap() error { return e.cause }

// LacksRoom reports that the endpoints are known and only busy.
func (*limitedError) LacksRoom() bool { return true }

// chooseRouteAgain is chooseRoute for a request without an attempt in progress. Endpoints that were silent may have gone on
// since, so it admits them again if there is no route without them.
func (x *callerExchange) chooseRouteAgain(document *chicoryhall.Document) (chicoryhall.Route, error) {
	route, err := x.chooseRoute(document)
	if err == nil || len(x.silent) == 0 {
		return route, err
	}
	x.silent = nil
	return x.chooseRoute(document)
}

// chooseRoute chooses a route whose first endpoint's limit allows a request now, and counts the request there.
func (x *callerExchange) chooseRoute(document *chicoryhall.Document) (chicoryhall.Route, error) {
	now := x.config().Timer.Now()
	limited, after := x.config().Limits.Exhausted(x.service, now)
	for {
		exclude := slices.Concat(x.excluded, x.silent, x.refused, x.reservedElsewhere, limited)
		route, err := x.config().Router.Choose(chicoryhall.RouteQuery{
			Document: document, FailureDomain: x.config().FailureDomain, Positions: x.callerHeaders.PromptTokens,
			RemainingTokens: x.callerHeaders.AnswerTokens, Exclude: exclude, Now: now,
		})
		switch {
		case err != nil && len(limited) > 0:
			return route, &limitedError{cause: err, after: after}
		case err != nil:
			return route, errors.WithStack(err)
		case x.config().Limits.Take(route.Hops[0].Engine, now):
			return route, nil
		}
		limited = append(limited, route.Hops[0].Engine) // Another request has just taken the last one.
	}
}
