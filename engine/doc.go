// Package engine is the router's side of the model engines' protocol: its
// messages and the client that streams tokens, polls load and sends orders.
//
// An engine holds the layers [From,To) of one or more models. The daemon opens
// a stream at the first engine of a route; that engine passes activations along
// the route and sends each token back as one JSON line. Times are in
// milliseconds unless a name says otherwise.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST   /v1/streams            Start; answers with lines of Event
//	DELETE /v1/streams/{id}?attempt=N   cancels
//	GET    /v1/load               chicoryhall.Load
//	GET    /v1/cache-events?after=N     CacheEvents
//	POST   /v1/orders             Order; answers OrderResult
//	GET    /v1/kv/{id}?attempt=N&from=F&positions=P
//	       exports the KV of the stage that begins at layer F (0 if absent) after P
//	       positions (all if absent) as KVExport, or 404
//	POST   /v1/stages             upgrade to the engines' own protocol
//	POST   /v1/calls              Call (plain services only); answers CallResult
//	GET    /healthz               204 while the process answers
//
// A stage runs a position only if its KV for the stream and attempt holds
// exactly the earlier positions; anything else is RefusalPosition. A newer
// attempt of a stream ends the older one at each engine that it meets; an older
// attempt, or one that was cancelled, is refused with RefusalAttempt.
//
// Positions on an Event count the answer's tokens from 0; EventDone carries
// their number. A refused Start gets one EventRefused as its whole answer. While
// the next token has been awaited for more than 50 ms the first engine sends
// EventWaiting every 100 ms with the engine that has not passed the position on,
// or itself while its own queue or work is what takes the time. Engines ping
// one another: a connection that is silent while a new one to the same engine
// answers is replaced. Streams whose activations went over it end in
// EventStageFailed with RefusalUnreachable; a token on its way to the first
// engine is sent again.
//
// KV of the first positions is not computed again where an engine has it:
//
//   - Hop.Keep: the engine still holds the stream's KV of ImportAttempt for the
//     same layers; it goes on with it, also while it is leaving. A stage stores
//     its output of every position beside the KV, so that a later stage that was
//     replaced gets its inputs without the earlier stages running again.
//   - Hop.ImportFrom: the KV and outputs come from another engine's export; when
//     that fails the stage is prefilled instead.
//   - A prompt whose prefix is cached begins behind it (see Prefixes).
//
// All else is prefilled; PrefillSpeedup gives the price of a position.
package engine
