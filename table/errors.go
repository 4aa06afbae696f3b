package table

import (
	"errors"
	"fmt"
)

//go:generate go tool enumer -type=Failure -text -transform=kebab -output=failure_enumer.go

// Failure is the kind of failure of a call to the table.
type Failure int

// The failures of a call.
const (
	// Conflict means that the condition of a change did not hold and nothing was written.
	Conflict Failure = iota
	// Unavailable means that the call failed without any effect for any other reason than a Conflict: mostly because the
	// table is down, but also because a value can't be encoded or a read returned an unexpected status. Repeating the
	// call does not help in the latter cases.
	Unavailable
	// Unsettled means that the write may have taken effect or may still do so.
	Unsettled
)

// Error is the error of a failed call to the table.
type Error struct {
	operation string
	address   string
	failure   Failure
	row       Row
	cause     error
}

// NewError returns the Error of an operation that failed at the table with the given address. Settle does not know the
// address and passes the key of the witness instead, so that the message names this row as the table.
func NewError(operation, address string, failure Failure, cause error) *Error {
	return &Error{operation: operation, address: address, failure: failure, cause: cause}
}

// NewConflict returns the Error of a transaction in which the given row did not meet its condition. The row's version is
// Absent if the row does not exist.
func NewConflict(operation, address string, row Row) *Error {
	return &Error{operation: operation, address: address, failure: Conflict, row: row}
}

// Error returns a message with the operation, the table's address and the failure.
func (e *Error) Error() string {
	if e.failure == Conflict {
		return fmt.Sprintf("%s: table %s: row %s has version %d", e.operation, e.address, e.row.Key, e.row.Version)
	}
	return fmt.Sprintf("%s: table %s: %s: %v", e.operation, e.address, e.failure, e.cause)
}

// Unwrap returns the cause, or nil for a conflict.
func (e *Error) Unwrap() error { return e.cause }

// Operation returns the operation that failed.
func (e *Error) Operation() string { return e.operation }

// Address returns the address of the table or, for an Error of Settle itself, the key of the witness (see NewError).
func (e *Error) Address() string { return e.address }

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

// IsUnsettled reports whether err means that the write may have taken effect or may still do so.
func IsUnsettled(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.failure == Unsettled
}
