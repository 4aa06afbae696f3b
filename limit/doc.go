// Package limit holds each organisation to its requests per second over all
// daemons together, without a central counter.
//
// A failure domain may spend an equal part of an organisation's rate, and each
// of its daemons an equal part of that: the base. A daemon that needs more asks
// others of its domain, which lend what they do not need for a short lifetime.
// A lender alone decides over its base, and a borrower counts a loan's lifetime
// from before it asked, so that lost, late or repeated messages and pauses
// never raise the sum.
//
// The package does no I/O; time is passed in. Rates are in requests per second.
package limit
