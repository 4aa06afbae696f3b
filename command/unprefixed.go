package command

// unprefixedError is an error that is printed without the names of the program and the verb.
type unprefixedError struct {
	cause error
}

// Error implements error.
func (e *unprefixedError) Error() string { return e.cause.Error() }

// Unwrap makes errors.Is and errors.As examine the cause.
func (e *unprefixedError) Unwrap() error { return e.cause }

// Unprefixed returns an error that Execute prints as the text of err alone, without the names of the program and the verb
// and without any context wrapped around it. It is for lists of mistakes, whose lines start with a file and a position.
func Unprefixed(err error) error {
	return &unprefixedError{cause: err}
}
