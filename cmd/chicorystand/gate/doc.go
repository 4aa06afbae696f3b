// Package gate serializes the calls of a stand-in. While the stand-in is frozen,
// which simulates a paused process, calls are queued.
package gate
