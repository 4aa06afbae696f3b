package limit

import (
	"math"
	"slices"
	"time"
)

// loan is a rate that is lent or borrowed until it expires.
type loan struct {
	rate      float64
	expiresAt time.Time
}

// bucket is a token bucket. Its rate is the base rate minus the loans given plus the loans taken.
type bucket struct {
	base     float64
	lent     []loan
	borrowed []loan
	tokens   float64
	lastFill time.Time
	// arrivals counts the requests since lastObserved, when demand was last updated.
	arrivals     int
	lastObserved time.Time
	// demand is the exponentially weighted mean of the arriving requests per second.
	demand   float64
	lastUsed time.Time
}

// idleTimeout is how long a bucket without requests and loans is kept.
const idleTimeout = time.Minute

func newBucket(base float64, now time.Time) *bucket {
	b := &bucket{base: base, lastFill: now, lastObserved: now, lastUsed: now}
	b.tokens = b.burst(base)
	return b
}

// burst returns the largest number of tokens that a bucket holds at a rate.
func (b *bucket) burst(rate float64) float64 {
	return math.Max(MinBurst, rate*BurstWindow.Seconds())
}

// fill adds the tokens for the time since the last fill and removes expired loans. Each loan counts
// exactly until it expires, even when that was in the middle of the time.
func (b *bucket) fill(now time.Time) {
	for now.After(b.lastFill) {
		next := now
		for _, l := range slices.Concat(b.lent, b.borrowed) {
			if l.expiresAt.After(b.lastFill) && l.expiresAt.Before(next) {
				next = l.expiresAt
			}
		}
		rate := b.rate(b.lastFill)
		b.tokens = math.Min(b.burst(rate), b.tokens+rate*next.Sub(b.lastFill).Seconds())
		b.lastFill = next
	}
	ended := func(l loan) bool { return !l.expiresAt.After(b.lastFill) }
	b.lent = slices.DeleteFunc(b.lent, ended)
	b.borrowed = slices.DeleteFunc(b.borrowed, ended)
}

// rate returns the rate at which the daemon may admit requests at the given time.
func (b *bucket) rate(at time.Time) float64 {
	return math.Max(0, b.base-totalRate(b.lent, at)) + totalRate(b.borrowed, at)
}

// totalRate returns the sum of the loans that have not expired at the given time.
func totalRate(loans []loan, at time.Time) float64 {
	total := 0.0
	for _, l := range loans {
		if l.expiresAt.After(at) {
			total += l.rate
		}
	}
	return total
}

// take spends one token, or returns the time until the next one is available.
func (b *bucket) take(now time.Time) (bool, time.Duration) {
	b.fill(now)
	b.arrivals++
	b.lastUsed = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	rate := b.rate(now)
	if rate <= 0 {
		return false, LoanLifetime
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// observe adds the requests since the last call to the mean demand.
func (b *bucket) observe(now time.Time) {
	period := now.Sub(b.lastObserved).Seconds()
	if period <= 0 {
		return
	}
	b.demand += demandWeight * (float64(b.arrivals)/period - b.demand)
	b.arrivals = 0
	b.lastObserved = now
}

func (b *bucket) setBase(base float64, now time.Time) {
	b.fill(now)
	b.base = base
}

// idle reports whether the bucket has had no requests for idleTimeout and has no loans.
func (b *bucket) idle(now time.Time) bool {
	b.fill(now)
	return now.Sub(b.lastUsed) > idleTimeout && len(b.lent) == 0 && len(b.borrowed) == 0
}

// shortfall returns the rate that the demand needs beyond the daemon's own rate and the borrowed
// loans. Loans that expire within LoanRequestPeriod are not counted, so that they are requested
// again before they expire.
func (b *bucket) shortfall() float64 {
	own := math.Max(0, b.base-totalRate(b.lent, b.lastFill))
	needed := b.demand * headroom
	if needed <= own {
		return 0
	}
	lasting := 0.0
	for _, l := range b.borrowed {
		if l.expiresAt.Sub(b.lastFill) > LoanRequestPeriod {
			lasting += l.rate
		}
	}
	return math.Max(0, needed-own-lasting)
}

// lend lends up to the wanted rate from what the demand here does not need, and returns the lent
// rate. Tokens beyond the burst of the remaining rate are dropped.
func (b *bucket) lend(wanted float64, now time.Time) float64 {
	b.fill(now)
	spare := b.base - totalRate(b.lent, now) - b.demand*headroom
	rate := math.Min(wanted, spare)
	if rate <= 0 {
		return 0
	}
	b.lent = append(b.lent, loan{rate: rate, expiresAt: now.Add(LoanLifetime)})
	b.tokens = math.Min(b.tokens, b.burst(b.rate(now)))
	return rate
}

// borrow adds a loan from a peer unless it has already expired.
func (b *bucket) borrow(rate float64, expiresAt, now time.Time) {
	b.fill(now)
	if expiresAt.After(now) {
		b.borrowed = append(b.borrowed, loan{rate: rate, expiresAt: expiresAt})
	}
}
