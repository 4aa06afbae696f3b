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
//	GET    /v1/kv/{id}?attempt=N  exports KV as KVExport
//	POST   /v1/calls              Call (plain services only); answers CallResult
//	GET    /healthz               204 while the process answers
package engine
