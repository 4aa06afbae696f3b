// Package timer implements chicoryhall.Timer. Service follows the system's
// monotonic clock. The time of Manual is advanced explicitly, for replay,
// benchmarks and tests.
package timer
