package memory

import "sync/atomic"

const (
	// largeHolder is the number of bytes above which a holder leaves largeReserve, a part of a Budget, to others. One above mediumHolder
	// leaves mediumReserve. Ordinary requests are smaller than that, and some hundreds of them fit into it.
	largeHolder   = 64 << 10
	largeReserve  = 1.0 / 8
	mediumHolder  = 8 << 10
	mediumReserve = 1.0 / 16
	// releaseShare is the part of a Budget that is released at least when holders are given up, so that this happens rarely.
	releaseShare = 1.0 / 16
)

// Budget bounds a number of bytes that are held at the same time. The zero Budget has no room. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take takes a number of bytes. It returns false, and takes none, if that many are not left.
func (b *Budget) Take(bytes int64) bool { return b.take(bytes, b.limit) }

// TakeMore takes a number of bytes for a holder that holds some of the Budget already. One that then holds much leaves the reserve to
// others.
func (b *Budget) TakeMore(holds, bytes int64) bool {
	reserve := 0.0
	switch size := holds + bytes; {
	case size > largeHolder:
		reserve = largeReserve
	case size > mediumHolder:
		reserve = mediumReserve
	}
	return b.take(bytes, b.limit-int64(reserve*float64(b.limit)))
}

func (b *Budget) take(bytes, limit int64) bool {
	if b.held.Add(bytes) <= limit {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// ReleaseSize returns the number of bytes that should be released if there is no room.
func (b *Budget) ReleaseSize() int64 { return int64(releaseShare * float64(b.limit)) }

// Release gives back bytes that were taken.
func (b *Budget) Release(bytes int64) { b.held.Add(-bytes) }

// Held returns the number of bytes that are taken now.
func (b *Budget) Held() int64 { return b.held.Load() }
