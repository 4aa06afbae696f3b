// Package neighbour lets the daemons of a failure domain share what they know: the
// rows that one of them, the reader, reads from the platform's store, and how many
// requests each of them has at each endpoint.
//
// Each daemon asks the reader every SyncPeriod for the changes of the tables that it
// follows, and tells it the requests that it has in flight. Candidates says which
// daemon that is; nobody is elected, and any daemon answers any other. A daemon is
// its own reader if it is the first candidate, or if it trusts none before itself.
//
// A copy of a table has an age: the time since the store is known to have had no
// later change of it. The age travels with the rows, and grows on the way, so that a
// copy of a copy is at most as fresh as its source. CachedStore, through which a daemon
// reads its tables, calls the store itself as soon as its copy is older than its
// limit. A daemon that is cut off from the others, or whose reader is frozen or cut
// off from the store, thus knows as much as without neighbours, at most that limit
// later.
//
// All types are free of I/O; the component that makes the calls is in
// cmd/chicoryhall/platformdaemon.
package neighbour
