// Package limit enforces each organisation's rate limit across all daemons
// without a central counter.
//
// An organisation's rate is divided equally among the failure domains, and the
// part of a domain equally among its daemons. The result is the base rate of a
// daemon. A daemon that needs more requests loans from others of its domain,
// which lend what they do not need themselves for LoanLifetime. Only the lender
// decides how much of its base rate it lends, and the borrower counts a loan's
// lifetime from before it sent the request. Lost, late or repeated messages and
// paused processes therefore never raise the sum of the rates.
//
// The package does no I/O, and callers pass in the current time. Rates are in
// requests per second.
package limit
