// Package retry limits retries, so that they cannot overload the endpoints of a
// service. Budgets limits them to a share of the successful requests of each
// daemon, as the service's document states. SlidingBudgets limits them to a share
// of the requests of all daemons in any window of time.
//
// The attempts of a single request are limited elsewhere, by packages stream and
// exchange. The package does no I/O.
package retry
