// Package result defines the result of one run of the load: its file, its
// printed table, and the comparison of two results.
package result
