package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=ActionKind -text -transform=kebab -trimprefix=Action -output=actionkind_enumer.go
//go:generate go tool enumer -type=Reason -text -transform=kebab -trimprefix=Reason -linecomment -output=reason_enumer.go

// ActionKind tells what an Action asks for.
type ActionKind int

// The kinds of actions.
const (
	// ActionChooseRoute asks for a route; Recovery tells that it replaces an attempt that failed
	// for Reason.
	ActionChooseRoute ActionKind = iota
	// ActionRaiseAttempt asks to record Attempt at the second holder.
	ActionRaiseAttempt
	// ActionOpenAttempt opens Attempt over Route behind Tokens; Fresh demands a new connection.
	ActionOpenAttempt
	// ActionAbandonAttempt ends Attempt; Keep tells that its engines shall keep the KV.
	ActionAbandonAttempt
	// ActionReplicate hands Tokens from Position on to the second holder.
	ActionReplicate
	// ActionDeliver gives Tokens from Position to the caller.
	ActionDeliver
	// ActionProbe asks over a new connection whether Engine answers.
	ActionProbe
	// ActionAwaitProgress asks for an InputProgressDue after Delay; it replaces an earlier one.
	ActionAwaitProgress
	// ActionObserve reports Observation of Engine.
	ActionObserve
	// ActionFinish ends the request with Outcome, Reason and RetryAfter.
	ActionFinish
)

// Reason tells why a request ended or why an attempt was replaced.
type Reason int

// The reasons.
const (
	// ReasonNone means that there is nothing to explain.
	ReasonNone Reason = iota
	// ReasonNoRoute means that no chain of ready endpoints covers the model.
	ReasonNoRoute
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonCancelled means that the caller cancelled.
	ReasonCancelled
	// ReasonReplaced means that another daemon goes on with the request.
	ReasonReplaced
	// ReasonEndpointLimit means that the request met as many endpoints as its document allows.
	ReasonEndpointLimit // endpoints
	// ReasonRetryBudget means that the service's retry budget is spent.
	ReasonRetryBudget // budget
	// ReasonQuarantined means that the request is refused because it crashed endpoints.
	ReasonQuarantined
	// ReasonNotIdempotent means that a request of its class is not run again.
	ReasonNotIdempotent
	// ReasonOverload means that admission refused the request.
	ReasonOverload
	// ReasonRateLimit means that the organisation is over its rate.
	ReasonRateLimit // limit
	// ReasonShutdown means that this daemon is stopping.
	ReasonShutdown
	// ReasonNoBackup means that no second daemon holds the request.
	ReasonNoBackup // holder
	// ReasonClaimFailed means that the request could not be claimed.
	ReasonClaimFailed // claim
	// ReasonEndpointFailed means that an endpoint failed while it had the request.
	ReasonEndpointFailed
	// ReasonEndpointSilent means that an endpoint stopped answering.
	ReasonEndpointSilent
	// ReasonEndpointRefused means that an endpoint refused the request.
	ReasonEndpointRefused
)

// Action is one thing that the machine asks for.
type Action struct {
	Kind          ActionKind
	Attempt       int
	Route         chicoryhall.Route
	Tokens        []digest.Token
	Position      int
	NewConnection bool
	Recovery      bool
	Exclude       []chicoryhall.EndpointID
	CachedHops    []chicoryhall.Hop
	Engine        chicoryhall.EndpointID
	Address       string
	Observation   chicoryhall.Observation
	Delay         time.Duration
	Outcome       chicoryhall.Outcome
	Reason        Reason
	RetryAfter    time.Duration
}
