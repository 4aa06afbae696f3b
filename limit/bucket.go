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

// bucket is a token bucket. Its rate is the base rate minus the rates lent plus the rates borrowed.
type bucket struct {
	base     float64
	lent     []loan
	borrowed []loan
	tokens   float64
	lastFill time.Time
	// arrivals counts the requests since lastObserved. Both are used to update demand.
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

// fill adds the tokens for the time since the last fill and removes expired loans. A loan that
// expires within that time changes the rate up to its expiry only.
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
	expired := func(l loan) bool { return !l.expiresAt.After(b.lastFill) }
	b.lent = slices.DeleteFunc(b.lent, expired)
	b.borrowed = slices.DeleteFunc(b.borrowed, expired)
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

// take counts a request and spends one token for it. If there is none, it returns false and the
// time until the next token. If the whole rate is lent, it returns LoanLifetime instead, within
// which all loans given so far expire.
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

// observe updates the mean demand with the requests since the last call.
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

// idle fills the bucket and reports whether it has had no requests for idleTimeout and has no
// loans.
func (b *bucket) idle(now time.Time) bool {
	b.fill(now)
	return now.Sub(b.lastUsed) > idleTimeout && len(b.lent) == 0 && len(b.borrowed) == 0
}

// shortfall returns the needed rate (demand times headroom) minus the base rate that is not lent
// and minus the borrowed rates, or 0 if that is negative, as of the last fill. Borrowed rates that
// expire within LoanRequestPeriod are not counted, so that they are requested again before they
// expire.
func (b *bucket) shortfall() float64 {
	own := math.Max(0, b.base-totalRate(b.lent, b.lastFill))
	needed := b.demand * headroom
	if needed <= own {
		return 0
	}
	borrowed := 0.0
	for _, l := range b.borrowed {
		if l.expiresAt.Sub(b.lastFill) > LoanRequestPeriod {
			borrowed += l.rate
		}
	}
	return math.Max(0, needed-own-borrowed)
}

// lend lends up to the wanted rate and returns the lent rate. What may be lent is the base rate
// minus the rates already lent and minus the needed rate, which is demand times headroom. Tokens
// beyond the burst of the remaining rate are dropped.
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
