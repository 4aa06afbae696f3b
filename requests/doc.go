// Package requests runs the requests of one daemon: it carries out what the
// state machine of package stream decides, calls plain services, and keeps
// finished answers for a window.
//
// Each request handles its inputs one after another (mailbox), so that neither
// the machine nor its followers need locks. No goroutine waits for tokens.
package requests
