package retry

import (
	"math"
	"sync"
)

const (
	// minReserve is the number of retries that a service without successes may spend.
	minReserve = 10
	// maxReserve bounds the retries that past successes earn.
	maxReserve = 1000
)

// Budget bounds the retries of one service by a share of its successful requests; it is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit float64
}

// NewBudget returns a Budget with the reserve of a service that has just started.
func NewBudget() *Budget {
	return &Budget{credit: minReserve}
}

// CountSuccess earns the given percentage of a retry for one successful request.
func (b *Budget) CountSuccess(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = math.Min(maxReserve, b.credit+float64(percent)/100)
}

// Spend takes one retry, or returns false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// left returns the retries that may be spent now.
func (b *Budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit
}
