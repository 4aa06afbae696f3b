// Package stage implements the protocol between the simulated engines of a route.
//
// A stream generates the answer to one request. Its route is a list of hops: each
// names an engine and the range of the model's layers that the engine runs for the
// stream. What the engine does for a hop is called a stage, so a route has as many
// stages as hops. A position is one token of the prompt or of the answer. The input of
// a stage for a position is the output of the stage before; that of the first stage is
// the embedded token. If the stream is repeated after a failure, that is a new attempt.
//
// An engine dials the address of the next engine and upgrades the connection
// ("POST /v1/stages", protocol "chicorystages"). From then on both ends send
// frames: a length of four bytes, big endian, and one JSON Message. An engine runs
// several streams together in one step, so a Message contains the parts for all of
// them. Open, Steps, Cancel, Probe and Ping are sent along the route. Ready, Failed,
// Progress and Pong are sent back on the same connection. The last engine sends Tokens
// directly to the first.
//
// ConnPool keeps one dialed connection for each address. If nothing is received on it
// although it is pinged, a second one is dialed and replaces it once the peer has
// answered the upgrade of the second. If the second one is established but the upgrade
// is not answered either, the first is kept, because the peer may only be paused. If
// the second cannot be established, the peer is taken to be unreachable, and the first
// is closed. Accepted connections are neither pinged nor replaced; the peer that dialed
// them does that.
package stage
