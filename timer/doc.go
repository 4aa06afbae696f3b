// Package timer implements chicoryhall.Timer: Service follows the system's
// monotonic clock, Manual moves only when it is told to, for replay, benches
// and tests.
package timer
