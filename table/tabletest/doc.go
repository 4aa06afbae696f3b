// Package tabletest holds a table in memory for tests: it keeps the rules of the
// platform's table and can be told to be down, to lose answers and to read stale rows.
package tabletest
