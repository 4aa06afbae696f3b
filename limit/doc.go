// Package limit enforces each organisation's rate limit across all daemons without a central
// counter.
//
// An organisation's rate is divided equally among the failure domains, and the part of a domain
// equally among its daemons. The result is the base rate of a daemon. A daemon that needs a higher
// rate borrows from others of its domain. They lend, for LoanLifetime, the part of their base rates
// that they do not need themselves.
//
// Loans never raise the sum of the rates above the limit. Only the lender decides how much of its
// base rate it lends, and it reduces its own rate at once. The borrower counts a loan's lifetime
// from just before it sends the request, so that a loan expires there no later than at the lender.
// If a grant is lost or late, or a process pauses, part of the rate stays unused; if a request
// arrives twice, the lender lends twice and reduces its own rate twice. Beyond the rate, the
// daemons together may admit a burst: what the whole limit accumulates in BurstWindow, and MinBurst
// for each daemon. The sum may exceed the limit for a time while daemons see different members or
// documents, or while a base rate has fallen below what was lent of it.
//
// The package does no I/O, and callers pass in the current time. Rates are in requests per second.
package limit
