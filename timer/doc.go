// Package timer implements chicoryhall.Timer. Service uses the system's
// monotonic clock. The time of Manual is advanced explicitly, for replay,
// benchmarks and tests.
package timer
