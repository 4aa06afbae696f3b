// Package plainservice stands in for a plain service: it runs operations such
// as "hold" that may not be repeated, speaks the plain part of the protocol of
// package engine and keeps a ledger of how often it ran each request. It does
// not guard against repeats; that is the router's duty.
//
//	POST /v1/calls    engine.Call; answers engine.CallResult
//	GET  /v1/load     chicoryhall.Load
//	POST /v1/orders   engine.Order; only Leaving counts
//	GET  /healthz     204
package plainservice
