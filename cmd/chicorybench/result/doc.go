// Package result holds what one run of the load showed: the result file, the
// printed table and the comparison of two results.
package result
