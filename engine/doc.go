// Package engine defines the protocol between daemons and model engines, and the client that streams
// tokens, polls load reports and sends orders.
//
// An engine has loaded the layers [From,To) of one or more models. A route is a chain of engines that
// together run all layers; each engine is a stage of it. The daemon opens an attempt of a request at
// the first engine of the route; the series of all attempts of a request is called a stream. Each engine passes its output for a token, the
// activation, to the next one, and the first engine sends each generated token back as a line of JSON.
// An engine keeps the KV (see package chicoryhall) of a stream's tokens. Engines may be simulated;
// package digest then replaces the arithmetic of the model.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST   /v1/streams            StreamRequest; the answer is a line for each Event
//	DELETE /v1/streams/{id}?attempt=N   cancels the attempt
//	GET    /v1/load               chicoryhall.LoadReport
//	GET    /v1/cache-events?after=N     CacheEvents
//	POST   /v1/orders             Order; the answer is OrderResult
//	GET    /v1/kv/{id}?attempt=N&from=F&positions=P
//	       exports the KV of the stage that begins at layer F (0 if absent) for the first
//	       P positions (all if absent) as KVExport, or 404
//	POST   /v1/stages             upgrade to the protocol among engines (not defined here)
//	POST   /v1/calls              Call (plain services only); the answer is CallResult
//	GET    /healthz               204 if the process is alive, whatever its state
//
// A stage runs a position only if its KV for the stream and attempt covers exactly the earlier
// positions; otherwise it refuses with RefusalWrongPosition. A newer attempt of a stream ends the
// older one at each engine of its route. An older attempt, or one that was cancelled, is refused
// with RefusalOldAttempt.
//
// For KV, a position is the index of a token in the prompt followed by the answer. The position of an
// Event, however, is the index, from 0, of a token in the answer; that of EventDone is the number of
// tokens. A StreamRequest that is refused gets one EventRefused as its whole answer. If the next token
// has been awaited for more than 50 ms, the first engine sends EventWaiting, and repeats it every
// 100 ms. The event names the engine that has not passed on its output; this is the first engine
// itself if the time goes into its own queue or computation.
//
// Engines ping one another. If a connection is silent although a new one to the same engine answers,
// the new connection replaces the silent one. An attempt whose activations were sent over the silent
// connection ends with EventStageFailed and RefusalUnreachable. An attempt of which only a generated
// token was sent over it, to the first engine, goes on: the token is sent again over the new one.
//
// KV that an engine already has is not computed again:
//
//   - Hop.ReuseKV: the engine still has the stream's KV of ImportAttempt for the same layers and
//     continues with it, even while it is leaving. Beside the KV, a stage stores its output of every
//     position. If the next stage is replaced, the new engine gets its inputs from there, and the
//     earlier stages need not run again.
//   - Hop.ImportFrom: the KV and the outputs are imported from another engine; if that fails, the
//     stage is prefilled.
//   - If a prefix of the prompt is cached, prefill begins after it (see PrefixHashes).
//
// All other KV is built by prefill; see PrefillSpeedup for its cost.
package engine
