// Package tabletest provides an in-memory table for tests. It follows the rules of the
// platform's table and can simulate outages, lost answers and stale reads.
package tabletest
