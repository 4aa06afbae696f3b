// Package idempotency ensures that submissions with the same idempotency key,
// even if sent to several daemons at once, become a single request.
//
// Each key has an owner among the live daemons of the region, chosen by
// rendezvous hashing. A daemon that receives a submission proposes its request ID
// to the owner. The first ID proposed wins, and the other daemons follow that
// request. The owner also sends each decision to the next daemon in the hashing
// order, which becomes the owner if the first one is lost. Daemons that are
// partitioned from each other may run the same key twice; a request that must run
// at most once is therefore claimed in the platform's table as well (see package
// claim).
//
// Table is the state of one owner; it does no I/O, and the time is passed in.
package idempotency
