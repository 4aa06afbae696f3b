// Package configuration holds the current service documents of one daemon and
// keeps them in agreement with the platform's table and the other daemons.
//
// A change of a document is accepted by one transaction of the table
// (Publication), on condition that the version the operator read is still the
// newest. Accepted versions spread by gossip: a daemon sends a rumour of each new
// version to a few peers and compares versions with random peers. A slow poll of
// the table finds what gossip missed. A daemon may read a version from any source,
// even a stale one, because State only replaces a version by one with a higher
// number. If the table is restored from a backup and has lost the newest version
// of a service, the daemons write that version to the table again.
//
// State, Publication and PeerSelector do no I/O; Documents does it for them.
package configuration
