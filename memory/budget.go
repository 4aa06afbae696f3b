package memory

import "sync/atomic"

// Budget bounds a number of bytes that are held at the same time. The zero Budget has no room. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes a number of bytes. It returns false, and takes none, if that many are not left.
func (b *Budget) Take(bytes int64) bool {
	if b.held.Add(bytes) <= b.limit {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Release gives back bytes that were taken.
func (b *Budget) Release(bytes int64) { b.held.Add(-bytes) }

// Held returns the number of bytes that are taken now.
func (b *Budget) Held() int64 { return b.held.Load() }
