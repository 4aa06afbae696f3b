// Package modelengine simulates a model engine: it implements the protocol of
// package engine, computes tokens with package digest and takes the time that
// its accelerator kind would take.
//
// Requests, messages of other engines and the ends of batched steps are
// serialized by Engine.do. While the engine is frozen, which simulates a paused
// process, they are queued. Periodic calls are skipped meanwhile. A
// stream has a stageState at each engine of its route, which holds the KV (the
// cached keys and values of a language model; here a hash for each layer) and the
// stage's output at each position. The first engine also has a driver, which
// embeds tokens and streams events to the daemon.
//
// A stage keeps the output of every position together with its KV. When a later
// stage of the route is replaced, the earlier stages need not run again: they send
// their stored outputs, and only the new stage computes its KV (prefill).
package modelengine
