// Package admission decides which requests start at once, which wait and which
// are shed, so that a service under overload spends its capacity on requests
// that still meet their deadlines.
//
// Each service has a concurrency limit, this daemon's share of what the live
// endpoints can batch. Above it requests wait by class priority and, inside a
// class, by start-time fair queueing over organisations. A request whose
// expected completion lies behind its deadline is refused at once with the time
// after which it would have fitted.
//
// The package does no I/O and starts no goroutine; time comes from a
// chicoryhall.Timer. Callbacks run outside its lock, on the goroutine of the
// caller, of the permit's release or of the timer.
package admission
