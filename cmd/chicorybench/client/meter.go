package client

import (
	"sync/atomic"
	"time"
)

// bucketTime is the resolution of a Meter.
const bucketTime = 100 * time.Millisecond

// Meter counts the tokens received by all clients over time.
type Meter struct {
	start   time.Time
	buckets []atomic.Int64
}

// NewMeter returns a Meter for a run of the given length. Later tokens are not counted.
func NewMeter(start time.Time, length time.Duration) *Meter {
	return &Meter{start: start, buckets: make([]atomic.Int64, length/bucketTime+1)}
}

// add counts one token.
func (m *Meter) add(now time.Time) {
	bucket := int(now.Sub(m.start) / bucketTime)
	if bucket >= 0 && bucket < len(m.buckets) {
		m.buckets[bucket].Add(1)
	}
}

// Rate returns the mean number of tokens per second between two times, which are given relative to the start.
func (m *Meter) Rate(from, to time.Duration) float64 {
	first := int(from / bucketTime)
	last := min(int(to/bucketTime), len(m.buckets))
	sum := int64(0)
	for i := first; i < last; i++ {
		sum += m.buckets[i].Load()
	}
	if last <= first {
		return 0
	}
	return float64(sum) / (time.Duration(last-first) * bucketTime).Seconds()
}
