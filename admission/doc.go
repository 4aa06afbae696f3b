// Package admission decides which requests start at once, which wait and which are refused, so that
// a service under overload spends its capacity on requests that still meet their deadlines.
//
// Each service has a concurrency limit: this daemon's share of the requests that its ready
// endpoints can batch or, if the document gives the sizes to compute it, hold in memory. Above the
// limit requests wait. They start in the order of their classes' priorities and, within a class, by
// start-time fair queueing over the organisations. A request that is not expected to start within
// its MaxWait or to complete before its deadline is refused at once, or as soon as this turns out
// while it waits.
//
// The package does no I/O and starts no goroutine; time comes from a chicoryhall.Timer. Callbacks
// run outside its lock, on the goroutine of the caller, of the permit's release or of the timer.
package admission
