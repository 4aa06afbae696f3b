package stream

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
)

//go:generate go tool enumer -type=InputKind -text -transform=kebab -trimprefix=Input -linecomment -output=inputkind_enumer.go

// InputKind is the kind of an Input.
type InputKind int

// The kinds of inputs.
const (
	// InputBegin starts a request that has been admitted and replicated.
	InputBegin InputKind = iota
	// InputRouted is the result of ActionChooseRoute: Route.
	InputRouted
	// InputUnroutable is the result of ActionChooseRoute when there is no route, with Reason and
	// RetryAfter.
	InputUnroutable
	// InputAttemptRaised is the result of ActionRaiseAttempt: the attempt may begin. It also comes
	// if the backup has not confirmed the number (see raiseAttemptTimeout in package requests).
	InputAttemptRaised // raised
	// InputTakenOver means that another daemon has taken over the request.
	InputTakenOver // replaced
	// InputSending means that the first byte of Attempt is about to be sent.
	InputSending
	// InputEvent carries an Event from the first engine.
	InputEvent
	// InputConnectionFailed means that the connection of Attempt ended with Failure. Sent tells
	// whether the engine may have got a byte.
	InputConnectionFailed // failed
	// InputProbed is the result of ActionProbe: Alive tells whether Engine answered.
	InputProbed
	// InputProgressDue means that the delay of ActionAwaitProgress has passed.
	InputProgressDue
	// InputDeadline means that the request's deadline has passed.
	InputDeadline
	// InputCancelled means that the caller cancelled the request.
	InputCancelled
	// InputEndpointState means that the state of Engine has changed to State.
	InputEndpointState
	// InputTokensReleased means that the backup has the tokens before Position, so that they may be
	// sent to the caller.
	InputTokensReleased // released
)

// Input is something that happened to the request. The kind determines which fields are used.
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
