package client

import (
	"sync/atomic"
	"time"
)

// bucketTime is the resolution of a TokenMeter.
const bucketTime = 100 * time.Millisecond

// TokenMeter counts received tokens over the time of a run. Several clients can share it.
type TokenMeter struct {
	start   time.Time
	buckets []atomic.Int64
}

// NewTokenMeter returns a TokenMeter for a run of the given length. Tokens received after it are not counted.
func NewTokenMeter(start time.Time, length time.Duration) *TokenMeter {
	return &TokenMeter{start: start, buckets: make([]atomic.Int64, length/bucketTime+1)}
}

// add counts one token received at the given time.
func (m *TokenMeter) add(now time.Time) {
	bucket := int(now.Sub(m.start) / bucketTime)
	if bucket >= 0 && bucket < len(m.buckets) {
		m.buckets[bucket].Add(1)
	}
}

// Rate returns the mean number of tokens per second between two times, which are given relative to the start.
func (m *TokenMeter) Rate(from, to time.Duration) float64 {
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
