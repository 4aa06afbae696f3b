// Package peer carries calls between daemons as JSON-RPC 2.0 over TCP, with a
// four-byte length before each message.
//
// Each daemon opens one connection to each peer that it calls, and answers calls
// on the connections that its peers open. If no message arrives for a while (see
// quietPeriod) during a call, the daemon pings the connection. If the ping is not
// answered or the connection breaks, the call is sent once more on a new connection. A call may therefore reach its
// handler twice, so handlers must be idempotent. Messages and bytes are counted
// for each method in both directions.
package peer
