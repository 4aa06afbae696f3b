// Package passthrough carries requests from callers to endpoints and the
// answers back, as they are, over HTTP/1.1 connections of one event loop.
//
// A Server reads callers' requests. Each becomes an exchange, which asks the
// decision packages in turn: routing for its rule and organisation, admission
// for a place, pipeline for the endpoints, exchange for what follows from a
// failure. Inputs of one caller's connection are handled one after another, so
// that exchanges need no locks; no goroutine waits for an answer.
//
// Headers beyond HTTP's own are read and written by a chicoryhall.Dialect.
package passthrough
