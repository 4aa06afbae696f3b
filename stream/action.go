package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

//go:generate go tool enumer -type=ActionKind -text -transform=kebab -trimprefix=Action -output=actionkind_enumer.go
//go:generate go tool enumer -type=Reason -text -transform=kebab -trimprefix=Reason -linecomment -output=reason_enumer.go

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	// ActionChooseRoute asks for the route of the next attempt. Attempt is the number of the last
	// one, CachedHops are its stages whose KV can be reused, Exclude are engines that the route
	// must not use, and Position is the number of tokens of the answer so far. If Recovery is set,
	// the last attempt ended for Reason.
	ActionChooseRoute ActionKind = iota
	// ActionRaiseAttempt asks to record at the request's backup that Attempt is the latest attempt
	// number (see package holder).
	ActionRaiseAttempt
	// ActionOpenAttempt opens Attempt over Route, to continue after Tokens. If NewConnection is
	// set, no existing connection may be used.
	ActionOpenAttempt
	// ActionAbandonAttempt ends Attempt. The engines of CachedHops keep its KV.
	ActionAbandonAttempt
	// ActionReplicate sends Tokens, which begin at Position, to the backup. The answer is
	// InputTokensReleased.
	ActionReplicate
	// ActionDeliver sends Tokens, which begin at Position, to the caller.
	ActionDeliver
	// ActionProbe asks over a new connection whether Engine, at Address, answers. Attempt is the
	// current attempt.
	ActionProbe
	// ActionAwaitProgress asks for an InputProgressDue after Delay. It replaces an earlier
	// ActionAwaitProgress.
	ActionAwaitProgress
	// ActionObserve reports Observation about Engine.
	ActionObserve
	// ActionFinish ends the request with Outcome, Reason and RetryAfter. Attempt is the last
	// attempt.
	ActionFinish
)

// Reason says why a request ended or why an attempt was replaced.
type Reason int

// The reasons. Package requests also gives some of them, for requests that do not begin and for
// calls of plain services, and has further reasons of its own.
const (
	// ReasonNone means that there is no reason to give.
	ReasonNone Reason = iota
	// ReasonNoRoute means that no chain of ready endpoints covers the model.
	ReasonNoRoute
	// ReasonDeadline means that the deadline passed.
	ReasonDeadline
	// ReasonCancelled means that the caller cancelled.
	ReasonCancelled
	// ReasonTakenOver means that another daemon has taken over the request.
	ReasonTakenOver // replaced
	// ReasonEndpointLimit means that the request has tried as many endpoints as its document
	// allows, or has made too many attempts.
	ReasonEndpointLimit // endpoints
	// ReasonRetryBudget means that the service's retry budget is used up.
	ReasonRetryBudget // budget
	// ReasonQuarantined means that the request is refused because it crashed endpoints.
	ReasonQuarantined
	// ReasonNotIdempotent means that requests of this class must not run again. It is not given at
	// present, because the failure that would call for another run has a reason (see reasonOrLimit).
	ReasonNotIdempotent
	// ReasonOverload means that admission refused the request.
	ReasonOverload
	// ReasonRateLimit means that the organisation exceeded its rate.
	ReasonRateLimit // limit
	// ReasonShutdown means that this daemon is shutting down. It is not given at present.
	ReasonShutdown
	// ReasonNoBackup means that the request was not accepted, because no other daemon could be its
	// backup or because the backup did not confirm in time. Package holder gives the same text for a
	// request that was not found after its owner failed.
	ReasonNoBackup // holder
	// ReasonClaimFailed means that the idempotency key of a request that may run at most once could
	// not be claimed (see package claim).
	ReasonClaimFailed // claim
	// ReasonEndpointFailed means that an endpoint failed while it ran the request.
	ReasonEndpointFailed
	// ReasonEndpointSilent means that an endpoint stopped answering, or made no progress although
	// it answered probes.
	ReasonEndpointSilent
	// ReasonEndpointRefused means that an endpoint refused the request.
	ReasonEndpointRefused
)

// Action is something that the Machine asks its driver to do. The kind determines which fields are
// used.
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
