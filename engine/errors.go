package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=FailureKind -text -transform=kebab -trimprefix=Failure -output=failurekind_enumer.go

// FailureKind tells how an exchange with an endpoint failed.
type FailureKind int

// The kinds of failures.
const (
	// FailureRefused means that nothing listens at the address.
	FailureRefused FailureKind = iota
	// FailureUnreachable means that no connection came about in time.
	FailureUnreachable
	// FailureBroken means that an open connection was closed before the answer ended.
	FailureBroken
	// FailureSilent means that no answer came in time on an open connection.
	FailureSilent
	// FailureStatus means that the answer's status tells of an error.
	FailureStatus
	// FailureMalformed means that the answer was not understood.
	FailureMalformed
	// FailureClosed means that the client itself has been stopped.
	FailureClosed
)

// Error is a failed exchange with the step and the peer at which it arose.
type Error struct {
	kind   FailureKind
	step   string
	peer   string
	sent   bool
	status int
	cause  error
}

// Kind returns how the exchange failed.
func (e *Error) Kind() FailureKind { return e.kind }

// Step returns what was being done.
func (e *Error) Step() string { return e.step }

// Peer returns the endpoint's address.
func (e *Error) Peer() string { return e.peer }

// Sent reports whether a byte of the request may have reached the endpoint.
func (e *Error) Sent() bool { return e.sent }

// Status returns the HTTP status of a FailureStatus.
func (e *Error) Status() int { return e.status }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s at %s: %s", e.step, e.peer, e.kind)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.step, e.peer, e.kind, e.cause)
}

// IsGone reports whether the failure of a new connection tells that no process serves at the
// address: it was refused, or closed without an answer as a relay does for a peer that is gone.
func (k FailureKind) IsGone() bool {
	return k == FailureRefused || k == FailureBroken
}

// IsGone reports whether err is such a failure of a new connection.
func IsGone(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.kind.IsGone()
}
