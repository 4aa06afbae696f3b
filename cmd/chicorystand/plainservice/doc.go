// Package plainservice simulates one VM of a plain service, that is, a service whose
// requests are single calls instead of streams through engines. Its operations, for
// example "hold", which reserves a venue, must not be run twice for a request. The stand-in
// does not prevent that, as it is the responsibility of the daemons; it records in a
// ledger how often it ran each request. It serves the calls, load reports and orders
// of package engine:
//
//	POST /v1/calls    engine.Call; answers engine.CallResult
//	GET  /v1/load     chicoryhall.LoadReport
//	POST /v1/orders   engine.Order; only Fence and Leaving have an effect
//	GET  /healthz     204
package plainservice
