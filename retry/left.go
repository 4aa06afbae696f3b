package retry

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

// Left returns how many retries of a service are left, borrowed ones included, and how many the limit allows this daemon in the window.
// Where less than half is left, it makes this daemon borrow: a user that keeps a part for later would never ask for the last one.
func (b *SlidingBudgets) Left(service chicoryhall.ServiceName, now time.Time) (left, allowed float64) {
	b.mu.Lock()
	current, own := b.windowAt(service, now), b.accountAt(service, now)
	requests, _ := current.sums()
	allowed = b.limits.Ratio*requests + b.slackPart(now)
	left = b.leftOf(current, own, now) + float64(own.borrowed())
	isShort := left < allowed/2
	if isShort {
		own.need = max(own.need, allowed/2-left)
	}
	short := b.short
	b.mu.Unlock()
	if isShort {
		short()
	}
	return left, allowed
}
