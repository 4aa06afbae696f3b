// Package mailbox serializes the handling of messages without a goroutine of its
// own, so that the handler needs no locks.
package mailbox
