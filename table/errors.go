package table

import (
	"errors"
	"fmt"
)

//go:generate go tool enumer -type=Failure -text -transform=kebab -output=failure_enumer.go

// Failure is what is known about a call to the table that failed.
type Failure int

// The kinds of failures.
const (
	// Conflict means that the condition of a change did not hold and nothing was written.
	Conflict Failure = iota
	// Unavailable means that the call failed without any effect.
	Unavailable
	// Unsettled means that the write may have taken effect or may still do so.
	Unsettled
)

// Error is the error of a failed call to the table.
type Error struct {
	step    string
	peer    string
	failure Failure
	row     Row
	cause   error
}

// NewError returns the Error of step, the operation that failed, at the table with address peer.
func NewError(step, peer string, failure Failure, cause error) *Error {
	return &Error{step: step, peer: peer, failure: failure, cause: cause}
}

// NewConflict returns the Error of a transaction in which the given row did not meet its condition.
func NewConflict(step, peer string, row Row) *Error {
	return &Error{step: step, peer: peer, failure: Conflict, row: row}
}

// Error returns a message with the step, the table's address and the failure.
func (e *Error) Error() string {
	if e.failure == Conflict {
		return fmt.Sprintf("%s: table %s: row %s has version %d", e.step, e.peer, e.row.Key, e.row.Version)
	}
	return fmt.Sprintf("%s: table %s: %s: %v", e.step, e.peer, e.failure, e.cause)
}

// Unwrap returns the cause, or nil for a conflict.
func (e *Error) Unwrap() error { return e.cause }

// Step returns the operation that failed.
func (e *Error) Step() string { return e.step }

// Peer returns the address of the table.
func (e *Error) Peer() string { return e.peer }

// Failure returns the kind of failure.
func (e *Error) Failure() Failure { return e.failure }

// AsConflict returns the row that did not meet its condition if err is a conflict.
func AsConflict(err error) (Row, bool) {
	var e *Error
	if errors.As(err, &e) && e.failure == Conflict {
		return e.row, true
	}
	return Row{}, false
}

// IsUnsettled reports whether err leaves open if the write took effect.
func IsUnsettled(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.failure == Unsettled
}
