// Package dial opens connections for event loops of nbio.
//
// The asynchronous dial of nbio sets its timeout when the connection may be open already. The timeout then closes the open
// connection.
package dial
