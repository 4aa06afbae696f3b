package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

//go:generate go tool enumer -type=InputKind -text -transform=kebab -trimprefix=Input -linecomment -output=inputkind_enumer.go

// InputKind tells what an Input reports.
type InputKind int

// The kinds of inputs.
const (
	// InputBegin starts the request: it is admitted and held.
	InputBegin InputKind = iota
	// InputRouted answers ActionChooseRoute with Route.
	InputRouted
	// InputUnroutable answers ActionChooseRoute with Reason and RetryAfter.
	InputUnroutable
	// InputAttemptRaised answers ActionRaiseAttempt.
	InputAttemptRaised // raised
	// InputReplaced tells that another daemon holds the request now.
	InputReplaced
	// InputSending tells that a byte of Attempt goes out.
	InputSending
	// InputEvent carries Event from the engine.
	InputEvent
	// InputConnectionFailed tells that Attempt's connection failed with Failure.
	InputConnectionFailed // failed
	// InputProbed answers ActionProbe for Engine with Alive.
	InputProbed
	// InputProgressDue tells that the delay of ActionAwaitProgress has passed.
	InputProgressDue
	// InputDeadline tells that the request's deadline has passed.
	InputDeadline
	// InputCancelled tells that the caller does not want the answer any more.
	InputCancelled
	// InputEndpointState tells that Engine is now in State.
	InputEndpointState
	// InputTokensReleased tells that tokens before Position may reach the caller.
	InputTokensReleased // released
)

// Input is one thing that happened to the request.
type Input struct {
	Kind       InputKind
	Attempt    int
	Route      chicoryhall.Route
	Event      engine.Event
	Failure    engine.FailureKind
	Engine     chicoryhall.EndpointID
	State      chicoryhall.EndpointState
	Alive      bool
	Sent       bool
	Position   int
	Reason     Reason
	RetryAfter time.Duration
}
