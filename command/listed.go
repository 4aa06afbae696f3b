package command

// listedError is an error of several lines that each name their own place.
type listedError struct {
	cause error
}

// Error returns the lines of the list.
func (e *listedError) Error() string { return e.cause.Error() }

// Unwrap returns the list.
func (e *listedError) Unwrap() error { return e.cause }

// Listed marks an error whose lines each name a file and a place; it is printed as it is.
func Listed(err error) error {
	return &listedError{cause: err}
}
