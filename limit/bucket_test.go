package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var startTime = time.Unix(1_000_000, 0)

// afterMillis returns the time the given number of milliseconds after startTime.
func afterMillis(millis int) time.Time {
	return startTime.Add(time.Duration(millis) * time.Millisecond)
}

// tolerance is the rounding error allowed in sums of floats.
const tolerance = 1e-9

// TestRateFollowsLoans checks the rate around the expiry of a lent and of a borrowed rate.
func TestRateFollowsLoans(t *testing.T) {
	b := newBucket(10, startTime)
	b.lent = []loan{{rate: 4, expiresAt: afterMillis(1000)}}
	b.borrowed = []loan{{rate: 3, expiresAt: afterMillis(2000)}}
	for _, c := range []struct {
		millis int
		rate   float64
	}{{0, 9}, {999, 9}, {1000, 13}, {1999, 13}, {2000, 10}} {
		must.Eq(t, c.rate, b.rate(afterMillis(c.millis)), must.Sprint(c.millis))
	}
	b.lent = []loan{{rate: 12, expiresAt: afterMillis(1000)}}
	must.Eq(t, 3.0, b.rate(startTime), must.Sprint("the lent rate exceeds the base rate"))
}

// TestFillExpiresLoans calls fill once for a period in which two loans expire.
func TestFillExpiresLoans(t *testing.T) {
	b := newBucket(100, startTime)
	b.tokens = 0
	b.lent = []loan{{rate: 90, expiresAt: afterMillis(200)}}
	b.borrowed = []loan{{rate: 20, expiresAt: afterMillis(400)}}
	b.fill(afterMillis(500))
	// 200 ms at 30, 200 ms at 120 and 100 ms at 100 tokens per second.
	must.InDelta(t, 6+24+10, b.tokens, tolerance)
	must.SliceEmpty(t, b.lent)
	must.SliceEmpty(t, b.borrowed)
	b.fill(afterMillis(400))
	must.InDelta(t, 40, b.tokens, tolerance, must.Sprint("a fill with an earlier time must change nothing"))
}

// TestFillKeepsUnexpiredLoans checks that a loan is kept until the moment it expires.
func TestFillKeepsUnexpiredLoans(t *testing.T) {
	b := newBucket(10, startTime)
	b.lent = []loan{{rate: 1, expiresAt: afterMillis(300)}}
	b.fill(afterMillis(299))
	must.Len(t, 1, b.lent)
	b.fill(afterMillis(300))
	must.SliceEmpty(t, b.lent)
}

// TestBurst checks the number of tokens that a bucket without requests accumulates.
func TestBurst(t *testing.T) {
	for _, c := range []struct{ base, kept float64 }{{100, 100}, {0.25, MinBurst}} {
		b := newBucket(c.base, startTime)
		b.fill(startTime.Add(time.Hour))
		must.Eq(t, c.kept, b.tokens)
	}
}

// TestTakeReturnsWait empties a bucket and retries shortly before and after the returned time.
func TestTakeReturnsWait(t *testing.T) {
	b := newBucket(4, startTime)
	for range 4 {
		ok, after := b.take(startTime)
		must.True(t, ok)
		must.Eq(t, 0, after)
	}
	ok, after := b.take(afterMillis(100))
	must.False(t, ok)
	must.InDelta(t, 0.150, after.Seconds(), 1e-6, must.Sprint("0.4 tokens are left and 4 arrive per second"))
	ok, _ = b.take(afterMillis(249))
	must.False(t, ok)
	ok, _ = b.take(afterMillis(251))
	must.True(t, ok)
	must.Eq(t, 7, b.arrivals)
}

// TestTakeWithoutRate checks that take returns the lifetime of a loan when the whole base rate is lent.
func TestTakeWithoutRate(t *testing.T) {
	b := newBucket(4, startTime)
	b.tokens = 0
	b.lent = []loan{{rate: 4, expiresAt: startTime.Add(LoanLifetime)}}
	ok, after := b.take(startTime)
	must.False(t, ok)
	must.Eq(t, LoanLifetime, after)
}

// TestObserveUpdatesDemand checks that the latest period has a weight of one half.
func TestObserveUpdatesDemand(t *testing.T) {
	b := newBucket(1, startTime)
	b.arrivals = 30
	b.observe(startTime)
	must.Eq(t, 30, b.arrivals, must.Sprint("without elapsed time nothing is observed"))
	b.observe(afterMillis(2000))
	must.InDelta(t, 7.5, b.demand, tolerance)
	must.Eq(t, 0, b.arrivals)
	b.observe(afterMillis(3000))
	must.InDelta(t, 3.75, b.demand, tolerance)
}

// TestIdleTimeout checks both sides of idleTimeout, and that loans keep a bucket.
func TestIdleTimeout(t *testing.T) {
	b := newBucket(1, startTime)
	must.False(t, b.idle(startTime.Add(idleTimeout)))
	must.True(t, b.idle(startTime.Add(idleTimeout+1)))
	for _, loans := range []*[]loan{&b.lent, &b.borrowed} {
		*loans = []loan{{rate: 1, expiresAt: startTime.Add(2 * idleTimeout)}}
		must.False(t, b.idle(startTime.Add(idleTimeout+1)))
		*loans = nil
	}
}

// TestShortfall compares the shortfall with the demand times headroom minus the own rate and the
// loans that do not expire before the next loan request.
func TestShortfall(t *testing.T) {
	for _, c := range []struct {
		name      string
		demand    float64
		lent      []loan
		borrowed  []loan
		shortfall float64
	}{
		{name: "own rate suffices", demand: 8, shortfall: 0},
		{name: "own rate is too low", demand: 16, shortfall: 10},
		{name: "own rate is lent", demand: 8, lent: []loan{{rate: 4, expiresAt: afterMillis(1000)}}, shortfall: 4},
		{name: "loan lasts beyond the next request", demand: 16, borrowed: []loan{{rate: 7, expiresAt: startTime.Add(LoanRequestPeriod + 1)}}, shortfall: 3},
		{name: "loan expires before the next request", demand: 16, borrowed: []loan{{rate: 7, expiresAt: startTime.Add(LoanRequestPeriod)}}, shortfall: 10},
		{name: "loan exceeds the need", demand: 16, borrowed: []loan{{rate: 20, expiresAt: startTime.Add(LoanLifetime)}}, shortfall: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBucket(10, startTime)
			b.demand, b.lent, b.borrowed = c.demand, c.lent, c.borrowed
			must.InDelta(t, c.shortfall, b.shortfall(), tolerance)
		})
	}
}

// TestLendSpareRate checks that a bucket lends at most its spare rate, for LoanLifetime. In the
// cases, lentBefore is the rate that is lent already.
func TestLendSpareRate(t *testing.T) {
	for _, c := range []struct{ demand, lentBefore, wanted, lent float64 }{
		{demand: 4, wanted: 100, lent: 5},
		{demand: 4, wanted: 2, lent: 2},
		{demand: 4, lentBefore: 3, wanted: 100, lent: 2},
		{demand: 8, wanted: 1, lent: 0},
		{demand: 20, wanted: 1, lent: 0},
	} {
		b := newBucket(10, startTime)
		b.demand = c.demand
		if c.lentBefore > 0 {
			b.lent = []loan{{rate: c.lentBefore, expiresAt: afterMillis(2000)}}
		}
		before := len(b.lent)
		must.InDelta(t, c.lent, b.lend(c.wanted, startTime), tolerance)
		if c.lent == 0 {
			must.Len(t, before, b.lent)
			continue
		}
		last := b.lent[len(b.lent)-1]
		must.Eq(t, startTime.Add(LoanLifetime), last.expiresAt)
		must.InDelta(t, 10-c.lentBefore-c.lent, b.tokens, tolerance, must.Sprint("tokens beyond the burst of the new rate must be dropped"))
	}
}

// TestBorrowIgnoresExpiredLoans adds loans that expire at and right after their arrival.
func TestBorrowIgnoresExpiredLoans(t *testing.T) {
	b := newBucket(10, startTime)
	b.borrow(5, afterMillis(100), afterMillis(100))
	must.SliceEmpty(t, b.borrowed)
	b.borrow(5, afterMillis(101), afterMillis(100))
	must.Len(t, 1, b.borrowed)
}

// TestRatesEncoding encodes and decodes rates; truncated input and lists that are too long are errors.
func TestRatesEncoding(t *testing.T) {
	rates := make(Rates, maxRates)
	for i := range rates {
		rates[i] = Rate{Key: KeyOf("s", "o") + Key(i), PerSecond: float64(i) / 4}
	}
	text, err := rates.MarshalJSON()
	must.NoError(t, err)
	var read Rates
	must.NoError(t, read.UnmarshalJSON(text))
	must.Eq(t, rates, read)

	packed, err := rates.MarshalBinary()
	must.NoError(t, err)
	for length := range packed {
		must.Error(t, read.UnmarshalBinary(packed[:length]))
	}
	tooMany, err := append(rates, Rate{}).MarshalBinary()
	must.NoError(t, err)
	must.Error(t, read.UnmarshalBinary(tooMany))
	must.Error(t, read.UnmarshalJSON([]byte(`7`)))
	must.Error(t, read.UnmarshalJSON([]byte(`"!"`)))
}
