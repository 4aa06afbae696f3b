package hall

import (
	"net/http"
	"sync"
	"time"
)

// StoreRates are the calls that the store answers in each second; those beyond are refused with status 429. A rate of 0 has no bound.
type StoreRates struct {
	ReadsPerSecond  int `yaml:"readsPerSecond"`
	WritesPerSecond int `yaml:"writesPerSecond"`
}

// callRates counts the calls of the current second.
type callRates struct {
	rates StoreRates

	mu            sync.Mutex
	second        int64
	reads, writes int
	// refused counts the calls that were refused.
	refused int
}

// take counts a call at now, and reports whether it is answered.
func (c *callRates) take(isWrite bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second, c.reads, c.writes = second, 0, 0
	}
	calls, rate := &c.reads, c.rates.ReadsPerSecond
	if isWrite {
		calls, rate = &c.writes, c.rates.WritesPerSecond
	}
	if rate > 0 && *calls >= rate {
		c.refused++
		return false
	}
	*calls++
	return true
}

// isWrite reports whether a call to the store writes.
func isWrite(r *http.Request) bool { return r.URL.Path == "/-/rows-tx" }
