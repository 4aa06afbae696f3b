package memory

import (
	"slices"
	"time"
)

// Holder is a caller's connection that holds memory.
type Holder[K any] struct {
	Key K
	// Held is the number of bytes that it holds.
	Held int64
	// LastProgress is when its caller last sent or took something, and Patience the time from then on after which it counts as stalled.
	LastProgress time.Time
	Patience     time.Duration
}

// ChooseStalled returns the holders to be given up so that a number of bytes is released, or all that have stalled if these hold
// less: those that hold most come first. Holders that make progress are never chosen.
func ChooseStalled[K any](holders []Holder[K], bytes int64, now time.Time) []Holder[K] {
	stalled := slices.DeleteFunc(slices.Clone(holders), func(h Holder[K]) bool {
		return h.Held == 0 || now.Sub(h.LastProgress) < h.Patience
	})
	slices.SortStableFunc(stalled, func(a, b Holder[K]) int { return int(b.Held - a.Held) })
	for i, h := range stalled {
		if bytes -= h.Held; bytes <= 0 {
			return stalled[:i+1]
		}
	}
	return stalled
}
