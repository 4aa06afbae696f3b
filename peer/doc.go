// Package peer carries messages between daemons: JSON-RPC 2.0 over TCP, each
// message behind a four-byte length.
//
// Each daemon opens one connection to each peer that it calls and answers on
// the connections that its peers open. A connection that has gone silent is
// probed with a ping, then replaced by a new one before the peer is blamed; a
// call may therefore reach its handler twice, so handlers must be idempotent.
// Bytes are counted for each method in both directions.
package peer
