package table

import (
	"errors"
	"fmt"
)

//go:generate go tool enumer -type=Failure -text -transform=kebab -output=failure_enumer.go

// Failure tells what is known after a call to the table failed.
type Failure int

// The kinds of failures.
const (
	// Conflict means that a condition did not hold and nothing was written.
	Conflict Failure = iota
	// Unavailable means that the call took no effect.
	Unavailable
	// Unsettled means that a write may have taken effect, or may still do so.
	Unsettled
)

// Error is a failed call to the table.
type Error struct {
	step    string
	peer    string
	failure Failure
	row     Row
	cause   error
}

// NewError returns an Error of one step of a call to peer.
func NewError(step, peer string, failure Failure, cause error) *Error {
	return &Error{step: step, peer: peer, failure: failure, cause: cause}
}

// NewConflict returns an Error that says which row did not meet its condition.
func NewConflict(step, peer string, row Row) *Error {
	return &Error{step: step, peer: peer, failure: Conflict, row: row}
}

// Error names the step, the peer and what is known.
func (e *Error) Error() string {
	if e.failure == Conflict {
		return fmt.Sprintf("%s: table %s: row %s has version %d", e.step, e.peer, e.row.Key, e.row.Version)
	}
	return fmt.Sprintf("%s: table %s: %s: %v", e.step, e.peer, e.failure, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Step returns what was being done.
func (e *Error) Step() string { return e.step }

// Peer returns the address of the table.
func (e *Error) Peer() string { return e.peer }

// Failure returns what is known.
func (e *Error) Failure() Failure { return e.failure }

// IsConflict returns the row that did not meet its condition.
func IsConflict(err error) (Row, bool) {
	var e *Error
	if errors.As(err, &e) && e.failure == Conflict {
		return e.row, true
	}
	return Row{}, false
}

// IsUnsettled tells whether a write may have taken effect.
func IsUnsettled(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.failure == Unsettled
}
