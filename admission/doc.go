// Package admission decides which requests start at once, which wait and which
// are shed, so that a service under overload spends its capacity on requests
// that still meet their deadlines.
//
// The package does no I/O and starts no goroutine; time comes from a
// chicoryhall.Timer. Callbacks run outside its lock, on the caller's goroutine
// or on the timer's.
package admission
