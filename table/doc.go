// Package table is a client of the platform's transactional table service. The
// table has rows with a key, a value and a version, which are changed by
// conditional transactions of one or more rows.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST /v1/transactions   takes a Transaction, answers a Result (409 if a condition failed)
//	GET  /v1/rows/{key}     answers a Row, or 404; the key is URL-escaped
//	GET  /v1/rows?prefix=P  answers Rows in key order
//
// A service that is down or over its rate limit answers 503, and has written
// nothing then, or does not answer at all. An answer may also be lost after the
// write took effect. A Transaction therefore carries a nonce, which is stored in
// the rows that it writes; Settle uses it to find out whether a transaction took
// effect.
package table
