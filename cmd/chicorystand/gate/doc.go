// Package gate runs the calls of a stand-in one after another and keeps them
// back while the stand-in is frozen, as for a paused process.
package gate
