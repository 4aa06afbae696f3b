package retry

import (
	"math"
	"sync"
)

const (
	// initialCredit is the number of retries that a service may spend before any success.
	initialCredit = 10
	// maxCredit bounds the number of retries that a service can accumulate.
	maxCredit = 1000
)

// Budget limits the retries of one service to a share of its successful requests, apart from the initial credit. It
// is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// credit is the number of retries that may be taken, including a fraction.
	credit float64
}

// NewBudget returns a Budget with the initial credit.
func NewBudget() *Budget {
	return &Budget{credit: initialCredit}
}

// CountSuccess counts a successful request: it adds percent/100 to the credit.
func (b *Budget) CountSuccess(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = math.Min(maxCredit, b.credit+float64(percent)/100)
}

// Take spends one retry. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// currentCredit returns the credit; a retry may be taken if it is at least 1.
func (b *Budget) currentCredit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.credit
}
