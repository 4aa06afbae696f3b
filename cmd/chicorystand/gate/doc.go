// Package gate runs the functions that use a stand-in's state one at a time. While
// the stand-in is frozen, which simulates a paused process, the gate is closed: the
// functions that handle requests and timers wait until it is thawed, but its control
// endpoint still has access.
package gate
