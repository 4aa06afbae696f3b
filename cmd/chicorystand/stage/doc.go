// Package stage implements the protocol between the simulated engines of a route.
//
// An engine dials the address of the next engine and upgrades the connection
// ("POST /v1/stages", protocol "chicorystages"). From then on both ends send
// frames: a length of four bytes, big endian, and one JSON Message. Messages of
// one batched step share a frame. Open, Steps, Cancel, Probe and Ping are sent along
// the route. Ready, Failed, Progress and Pong are sent back on the same connection.
// The last engine sends Tokens directly to the first.
//
// ConnPool keeps one connection for each address. A connection that stays silent
// although it is pinged is replaced once a new one answers. If no new one answers
// either, it is kept, because the peer may only be paused.
package stage
