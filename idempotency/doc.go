// Package idempotency makes the same idempotency key, sent to several daemons at
// once, one request.
//
// Each key has an owner among the reachable daemons of the region, by rendezvous
// hashing. The daemon that got a submission proposes its request id to the
// owner, and the first id wins; the other daemons follow that request. The next
// daemon in the order learns each decision, so that it knows the key when the
// owner is lost. Daemons that are cut off from each other may run one key
// twice; what must run at most once is claimed in the platform's table besides.
//
// Table is one owner's state; it does no I/O, and time is passed in.
package idempotency
