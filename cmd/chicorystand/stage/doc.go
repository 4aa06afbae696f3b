// Package stage is the protocol between the stand-in engines of one route.
//
// An engine dials the address of the next engine and upgrades the connection
// ("POST /v1/stages", protocol "chicorystages"). From then on both ends send
// frames: four bytes of length, big endian, and one JSON Message. Messages of
// one batched step share a frame. Open, Steps, Cancel, Probe and Ping go along
// the route; Ready, Failed, Progress and Pong come back on the same connection;
// the last engine sends Tokens straight to the first.
//
// Network keeps one connection per address. A connection that stays silent
// though pinged is replaced once a new one answers; when no new one answers
// either, it is left, because the peer may only be paused.
package stage
