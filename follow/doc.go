// Package follow keeps a local copy of a table of the platform's store up to
// date. It reads the whole table and then waits for changes. It reads the whole
// table again after any failure, also one of another call to the same store that
// Distrust tells of, and periodically, because the store may stop sending changes
// without an error.
//
// The copy goes to a Sink. A read of the whole table may return older rows than
// the sink already has; a sink that must not return to them checks that itself.
package follow
