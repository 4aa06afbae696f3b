// Package table is a client of the platform's transactional table service. The
// table has rows with a key, a value and a version, which are changed by
// conditional transactions of one or more rows.
//
// The protocol is HTTP/1.1 with JSON bodies:
//
//	POST /v1/transactions   takes a Transaction, returns a Result (409 if a condition failed)
//	GET  /v1/rows/{key}     returns a Row, or 404; the key is URL-escaped
//	GET  /v1/rows?prefix=P  returns Rows in key order
//
// A status of 503 or 429 means that the service refused the request and has written
// nothing. If the connection fails, the answer does not come in time, or it has any
// other status than 200 or a 409 that names the row, the write may have taken effect
// nevertheless. A Transaction therefore carries a nonce, which
// is stored in the rows that it writes; Settle uses it to find out whether a
// transaction took effect. A failed read has no effect, so its failure is always
// Unavailable.
package table
