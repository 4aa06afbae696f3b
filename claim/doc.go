// Package claim makes a request that is not idempotent run at most once: before
// its first byte is sent to an endpoint, a row with the request's idempotency key
// is inserted into the platform's table, and only the inserter may send the
// request.
//
// Each call of Claim has an owner, a random string that is stored in the row.
// Even when answers are lost and an insert is sent several times, the owner in the
// row shows which call may send the request. While the row holds no outcome, the
// request may or may not have run. A claim is released only if its request certainly
// did not run, for instance because it was never sent or an endpoint refused it.
//
// The daemons of a failure domain pass their claims to one of them, the
// coordinator, which commits many in one transaction. Batch determines what a
// transaction contains and what its answer means, and does no I/O; Committer and
// Claims do it.
package claim
