// Package load executes a plan: it generates open-loop arrivals from the seed,
// sends each request in a goroutine of its own and injects the faults on time.
package load
