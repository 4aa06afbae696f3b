// Package engine defines the protocol between daemons and model engines, and the client that streams
// tokens, polls load reports and sends orders.
//
// An engine has loaded the layers [From,To) of one or more models. The daemon opens a stream at the
// first engine of a route. That engine passes activations along the route and sends each token back
// as a line of JSON. Times are in milliseconds unless a name says otherwise.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST   /v1/streams            StreamRequest; the answer is a line for each Event
//	DELETE /v1/streams/{id}?attempt=N   cancels
//	GET    /v1/load               chicoryhall.LoadReport
//	GET    /v1/cache-events?after=N     CacheEvents
//	POST   /v1/orders             Order; the answer is OrderResult
//	GET    /v1/kv/{id}?attempt=N&from=F&positions=P
//	       exports the KV of the stage that begins at layer F (0 if absent) after P
//	       positions (all if absent) as KVExport, or 404
//	POST   /v1/stages             upgrade to the protocol among engines
//	POST   /v1/calls              Call (plain services only); the answer is CallResult
//	GET    /healthz               204 while the process answers
//
// A stage runs a position only if its KV for the stream and attempt covers exactly the earlier
// positions; otherwise it refuses with RefusalWrongPosition. A newer attempt of a stream ends the
// older one at each engine of its route. An older attempt, or one that was cancelled, is refused
// with RefusalOldAttempt.
//
// The position of an Event is the index, from 0, of a token in the answer; that of EventDone is the
// number of tokens. A StreamRequest that is refused gets one EventRefused as its whole answer. If the
// next token takes more than 50 ms, the first engine sends EventWaiting every 100 ms. The event names
// the engine that has not passed the position on, or the first engine itself while the time is spent
// in its own queue or computation.
//
// Engines ping one another. A connection that is silent although a new one to the same engine
// answers is replaced. Streams whose activations went over it end with EventStageFailed and
// RefusalUnreachable; a token on its way to the first engine is sent again.
//
// KV that an engine already has is not computed again:
//
//   - Hop.ReuseKV: the engine still has the stream's KV of ImportAttempt for the same layers and
//     continues with it, even while it is leaving. With the KV a stage keeps its output of every
//     position, so that a stage that replaces a later one gets its inputs without running the
//     earlier stages again.
//   - Hop.ImportFrom: the KV and the outputs are imported from another engine; if that fails, the
//     stage is prefilled.
//   - If a prefix of the prompt is cached, prefill begins after it (see PrefixHashes).
//
// All other KV is built by prefill; see PrefillSpeedup for its cost.
package engine
