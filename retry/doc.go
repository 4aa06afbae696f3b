// Package retry limits retries, so that they cannot overload the endpoints of a
// service. Budgets limits them to an initial credit plus a share of the successful
// requests of each daemon, as the service's document states. SlidingBudgets limits
// them, in any window of a given length, to a share of the requests of all daemons
// plus a constant slack. Each daemon has a share of that limit. The daemons of a
// failure domain lend each other parts of their shares, through the Pool of one of
// them; docs/design/retry.md shows why the sum keeps the limit.
//
// The attempts of a single request are limited elsewhere, by packages stream and
// exchange. The package does no I/O.
package retry
