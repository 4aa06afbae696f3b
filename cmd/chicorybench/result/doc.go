// Package result defines the result of one run of a plan: its JSON file, its
// printed table, Markdown tables of several results, and the comparison of two.
package result
