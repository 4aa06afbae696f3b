// Package modelengine stands in for a model engine: it speaks the protocol of
// package engine, computes tokens with package digest and takes the time that
// its accelerator kind would take.
//
// Everything that happens to an Engine (a request, a message of another engine,
// the end of a batched step, a tick) runs one after another through Engine.do.
// While the engine is frozen the calls are kept and run when it thaws, as after
// a paused process. A stream has a stageState at each engine of its route, with
// the KV after each position and the stage's output at each position; the first
// engine also has a driver, which embeds tokens and streams events.
//
// A stage keeps the output of every position beside its KV. So when a later
// stage of the route is replaced, the stages before it need not run again: they
// send their stored outputs and only the new stage builds KV (prefill).
package modelengine
