// Package mailbox serializes the handling of messages, so that the handler needs
// no locks. It needs no goroutine of its own.
package mailbox
