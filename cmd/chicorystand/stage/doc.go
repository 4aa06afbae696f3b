// Package stage implements the protocol between the simulated engines of a route.
//
// A stream generates the answer to one request. Its route is a list of hops: each
// names an engine and the range of the model's layers that the engine runs for the
// stream, which is called a stage. The input of a stage for one position, that is, one
// token of the prompt or of the answer, is the output of the stage before. If the
// stream is repeated after a failure, that is a new attempt.
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
// although it is pinged, a second one is dialed and replaces it once it answers. If
// the second one is established but does not answer either, the first is kept, because
// the peer may only be paused. If the second cannot be established, the first is
// closed. Accepted connections are neither pinged nor replaced; the peer that dialed
// them does that.
package stage
