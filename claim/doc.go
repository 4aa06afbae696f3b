// Package claim lets a request that is not idempotent run at most once: before
// its first byte goes out, a row with the request's key is inserted into the
// platform's table, and only who inserted it may send the request.
//
// Each call of Claim has an owner, a random word of its own that stands in the
// row. Whatever answer was lost on the way, and however often the insert was
// sent, the row's owner tells who may send. A claim without an outcome means
// "unknown" and is never released once its request may have been sent.
//
// The daemons of a failure domain hand their claims to one of them, the
// collector, which commits many in one transaction. Batch decides what a
// transaction holds and what its answer means, and does no I/O; Committer and
// Service carry it out.
package claim
