// Package retry limits retries, so that they cannot overload the endpoints of a
// service. Budgets limits them to a share of the successful requests of each
// daemon, as the service's document states. SlidingBudgets limits them to a share
// of the requests of all daemons in any window of time.
//
// The number of endpoints that a single request may try for one stage of its
// route is limited by package stream. The package does no I/O.
package retry
