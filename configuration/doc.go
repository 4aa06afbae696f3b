// Package configuration holds the current service documents of one daemon and
// keeps them in agreement with the platform's table and the other daemons.
//
// A change of a document is accepted by one transaction of the table
// (Publication), on condition that the version the operator read is still the
// newest. Accepted versions spread by gossip: a daemon sends a rumour of each new
// version to a few peers and compares versions with random peers. A slow poll of
// the table finds what gossip missed. A version may be taken from any source,
// stale or not, because State only accepts a version with a higher number than
// the one it has. When the table was restored from a backup, the daemons write
// the versions that it lost to it again.
//
// State, Publication and PeerSelector do no I/O; Documents does it for them.
package configuration
