// Package load carries a plan out: it draws open-loop arrivals from the seed,
// sends each request through a caller of its own and sets the faults in time.
package load
