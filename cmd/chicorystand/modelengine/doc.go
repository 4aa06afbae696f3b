// Package modelengine simulates a model engine: it implements the protocol of
// package engine, computes tokens with package digest and takes the time that
// its accelerator kind would take.
//
// All events of an Engine (a request, a message of another engine, the end of a
// batched step, a timer tick) are serialized by Engine.do. While the engine is
// frozen, they are queued and run when it thaws, as after a paused process. A
// stream has a stageState at each engine of its route, which holds the KV after
// each position and the stage's output at each position. The first engine also has
// a driver, which embeds tokens and streams events to the daemon.
//
// A stage keeps the output of every position together with its KV. When a later
// stage of the route is replaced, the earlier stages need not run again: they send
// their stored outputs, and only the new stage computes its KV (prefill).
package modelengine
