// Package follow keeps this daemon's copy of a table of the platform's store
// current: it reads the table whole, then waits for changes, and reads it whole
// again after any trouble and from time to time, as feeds may go deaf.
//
// What a version means is up to the sink: one that must never go back refuses
// older versions itself.
package follow
