// Package mailbox handles messages one after another without a goroutine of
// its own, so that what handles them needs no locks.
package mailbox
