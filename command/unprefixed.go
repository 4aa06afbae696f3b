package command

// unprefixedError is an error that is printed without the names of the program and the verb.
type unprefixedError struct {
	cause error
}

// Error returns the text of the cause.
func (e *unprefixedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unprefixedError) Unwrap() error { return e.cause }

// Unprefixed marks an error that is printed as it is, such as a list of mistakes whose lines name a file and a position.
func Unprefixed(err error) error {
	return &unprefixedError{cause: err}
}
