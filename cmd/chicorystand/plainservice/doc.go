// Package plainservice simulates a plain service: it runs operations such as
// "hold" that must not be repeated, implements the plain part of the protocol of
// package engine and records in a ledger how often it ran each request. It does
// not prevent repeated runs, as that is the responsibility of the daemons.
//
//	POST /v1/calls    engine.Call; answers engine.CallResult
//	GET  /v1/load     chicoryhall.Load
//	POST /v1/orders   engine.Order; only Leaving counts
//	GET  /healthz     204
package plainservice
