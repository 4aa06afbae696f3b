// Package requests runs the requests of one daemon. It executes the actions of the state machine of
// package stream, calls plain services, and keeps finished answers for a time.
//
// Each request handles its messages one after another (see package mailbox), so that neither the
// state machine nor the followers need locks. No goroutine blocks while it waits for tokens.
package requests
