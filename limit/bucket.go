package limit

import (
	"math"
	"slices"
	"time"
)

// loan is a rate that was lent or borrowed until a time.
type loan struct {
	rate      float64
	expiresAt time.Time
}

// bucket is a token bucket whose rate is the base, less what is lent, plus what is borrowed.
type bucket struct {
	base     float64
	lent     []loan
	borrowed []loan
	tokens   float64
	lastFill time.Time
	// arrivals counts the requests since the last observation, at which demand was computed.
	arrivals     int
	lastObserved time.Time
	demand       float64
	lastUsed     time.Time
}

// idleTimeout is how long a bucket without requests and loans is kept.
const idleTimeout = time.Minute

func newBucket(base float64, now time.Time) *bucket {
	b := &bucket{base: base, lastFill: now, lastObserved: now, lastUsed: now}
	b.tokens = b.burst(base)
	return b
}

// burst is the most requests that are kept for a rate.
func (b *bucket) burst(rate float64) float64 {
	return math.Max(MinBurst, rate*BurstWindow.Seconds())
}

// fill adds the tokens that have come since the last fill; loans end exactly at their time.
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

// rate is what the daemon may spend at a time.
func (b *bucket) rate(at time.Time) float64 {
	return math.Max(0, b.base-totalRate(b.lent, at)) + totalRate(b.borrowed, at)
}

func totalRate(loans []loan, at time.Time) float64 {
	total := 0.0
	for _, l := range loans {
		if l.expiresAt.After(at) {
			total += l.rate
		}
	}
	return total
}

// take spends one token, or returns the time after which there will be one.
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

// observe takes the requests since the last call into the mean demand.
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

func (b *bucket) idle(now time.Time) bool {
	b.fill(now)
	return now.Sub(b.lastUsed) > idleTimeout && len(b.lent) == 0 && len(b.borrowed) == 0
}

// shortfall is the rate that the demand needs beyond what the daemon may spend of its own. Loans
// are asked for again before they end.
func (b *bucket) shortfall() float64 {
	own := math.Max(0, b.base-totalRate(b.lent, b.lastFill))
	wanted := b.demand * headroom
	if wanted <= own {
		return 0
	}
	renewed := 0.0
	for _, l := range b.borrowed {
		if l.expiresAt.Sub(b.lastFill) > LoanRequestPeriod {
			renewed += l.rate
		}
	}
	return math.Max(0, wanted-own-renewed)
}

// lend gives away at most the wanted rate of what the demand here does not need.
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

func (b *bucket) borrow(rate float64, until, now time.Time) {
	b.fill(now)
	if until.After(now) {
		b.borrowed = append(b.borrowed, loan{rate: rate, expiresAt: until})
	}
}
