// Package judge turns what the callers saw and what the stand-ins truly ran
// into a result: each request answered once, whole and right, or not.
package judge
