package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

//go:generate go tool enumer -type=FailureKind -text -transform=kebab -trimprefix=Failure -output=failurekind_enumer.go

// FailureKind is the way in which an exchange with an endpoint failed.
type FailureKind int

// The kinds of failures.
const (
	// FailureRefused means that the connection was refused, because no process listens at the
	// address. (An engine that refuses a request is another matter, see Refusal.)
	FailureRefused FailureKind = iota
	// FailureUnreachable means that a connection could not be opened for any other reason, such as
	// a timeout.
	FailureUnreachable
	// FailureBroken means that an open connection was closed before the end of the answer, or that
	// the answer to an attempt ended without a last event (see errNoLastEvent).
	FailureBroken
	// FailureSilent means that no answer arrived in time on an open connection.
	FailureSilent
	// FailureStatus means that the answer had an unexpected HTTP status.
	FailureStatus
	// FailureMalformed means that the answer could not be decoded or the request could not be
	// encoded.
	FailureMalformed
	// FailureClosed means that the Client itself has stopped.
	FailureClosed
)

// Error describes a failed exchange.
type Error struct {
	kind      FailureKind
	operation string
	address   string
	sent      bool
	status    int
	cause     error
}

// Kind returns how the exchange failed.
func (e *Error) Kind() FailureKind { return e.kind }

// Operation returns what was being done, such as "poll load".
func (e *Error) Operation() string { return e.operation }

// Address returns the address of the endpoint.
func (e *Error) Address() string { return e.address }

// Sent reports whether the endpoint may have received any byte of the request.
func (e *Error) Sent() bool { return e.sent }

// Status returns the HTTP status if the kind is FailureStatus, otherwise 0.
func (e *Error) Status() int { return e.status }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the operation, the endpoint's address, the kind of failure and the cause. The kind
// "refused" is a refused connection, not a Refusal.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("%s at %s: %s", e.operation, e.address, e.kind)
	}
	return fmt.Sprintf("%s at %s: %s: %v", e.operation, e.address, e.kind, e.cause)
}

// IsGone reports whether a failure of this kind means that no process serves the address. It is for
// probes, which use a new connection: that was refused, or closed without an answer, as a proxy does
// if the process behind it is gone. For other exchanges FailureBroken may also mean that a
// connection was closed in the middle of an answer.
func (k FailureKind) IsGone() bool {
	return k == FailureRefused || k == FailureBroken
}

// IsGone reports whether err is a failure for which FailureKind.IsGone returns true.
func IsGone(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.kind.IsGone()
}
