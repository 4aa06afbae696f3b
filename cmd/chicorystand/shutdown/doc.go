// Package shutdown stops event loops of nbio within a bounded time.
package shutdown
