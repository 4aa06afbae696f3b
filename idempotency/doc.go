// Package idempotency makes submissions with the same idempotency key a single
// request, even if they are sent to several daemons at once.
//
// Each key has an owner among the daemons of the region in state MemberAlive, chosen by
// rendezvous hashing. A daemon that receives a submission proposes its request ID
// to the owner. The first ID proposed wins, and daemons that proposed another ID
// give their callers the answer of the winning request. The owner also sends each
// decision to the next daemon in the hashing order, its successor, which becomes
// the owner if the owner is lost.
//
// Daemons that are partitioned from each other may run two requests with the same
// key. A request that must run at most once is therefore claimed in the platform's
// table as well (see package claim).
//
// Decisions holds the decisions that one daemon knows; it does no I/O, and the time is
// passed in.
package idempotency
