// Package table speaks to the platform's transactional table service: rows of
// key, value and version, changed by conditional transactions of several rows.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST /v1/transactions   Transaction; answers Result (409 when a condition failed)
//	GET  /v1/rows/{key}     Row, or 404; the key is URL-escaped
//	GET  /v1/rows?prefix=P  Rows in key order
//
// A service that is down or over its rate answers 503, and then has written
// nothing, or not at all. An
// answer may be lost after the write took effect: a Transaction carries a
// nonce, and reading a row back shows the nonce of its last change.
package table
