// Package digest defines the arithmetic by which the stand-in engines compute
// tokens and by which a caller that knows only the prompt verifies an answer.
//
// Each layer keeps a KV digest that folds the inputs of all earlier positions.
// The activation of a position is folded through every layer with that layer's
// KV, so a skipped, repeated, reordered or stale layer changes every later
// token. The low bits of a token are free (sampling): they differ between runs
// and enter the next position, so a mixture of two runs does not verify.
package digest
