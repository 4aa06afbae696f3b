// Package follow keeps a local copy of a table of the platform's store up to
// date. It reads the whole table and then waits for changes. It reads the whole
// table again after any failure and periodically, because the store may stop
// sending changes without an error.
//
// The package does not compare the versions of values; a sink that must not
// return to an older value checks that itself.
package follow
