package neighbour

import (
	"sync"
	"time"
)

// minExtraPause is the least time between two calls beyond the periodic ones. A crash makes many requests fail at the same time,
// and VMs have as little as a fifth of a processor.
const minExtraPause = 50 * time.Millisecond

// ExtraCalls decides when a daemon calls its neighbour beyond the periodic calls. It is safe for concurrent use.
type ExtraCalls struct {
	mu      sync.Mutex
	planned bool
	last    time.Time
}

// Plan returns the time until an extra call, or false if one is planned already.
func (e *ExtraCalls) Plan(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.planned {
		return 0, false
	}
	e.planned = true
	return max(0, e.last.Add(minExtraPause).Sub(now)), true
}

// Begin records that the planned call begins.
func (e *ExtraCalls) Begin(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.planned, e.last = false, now
}
