// Package stall decides when an attempt of a stream in progress counts as stalled, so that another attempt is started beside
// it, and which retries may be spent on that.
//
// An attempt that has been silent for three target gaps counts as stalled in any case. The caller has noticed the pause by
// then. An attempt counts as stalled earlier, so that the resumed stream is within the target gap, if there is evidence that
// it does not go on: an endpoint of its route is suspect, several attempts through the same endpoint have fallen silent, or
// the silence is longer than the pauses that are usual. The weaker the evidence, the more retries must be left.
//
// The package does no I/O and has no clock.
package stall
