// Package tabletest provides an in-memory table for tests. It has versions, conditions and
// nonces as described in package table, and can simulate outages, lost answers and stale reads.
package tabletest
