// Package peer carries calls between daemons as JSON-RPC 2.0 over TCP, with a
// four-byte length before each message.
//
// Each daemon opens one connection to each peer that it calls, and answers calls
// on the connections that its peers open. A connection on which nothing arrives
// is probed with a ping; if that is not answered, the call is repeated once on a
// new connection before it fails. A call may therefore reach its handler twice,
// so handlers must be idempotent. Messages and bytes are counted for each method
// in both directions.
package peer
