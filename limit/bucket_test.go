package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var startTime = time.Unix(1_000_000, 0)

// afterMillis returns a time some milliseconds after the start.
func afterMillis(millis int) time.Time {
	return startTime.Add(time.Duration(millis) * time.Millisecond)
}

// tolerance is the allowed error of sums of fractions.
const tolerance = 1e-9

// TestRateFollowsLoans looks at the rate around the ends of a loan given and one taken.
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
	must.Eq(t, 3.0, b.rate(startTime), must.Sprint("more is lent than the base"))
}

// TestFillEndsLoansAtTheirTime fills over the ends of loans in one step.
func TestFillEndsLoansAtTheirTime(t *testing.T) {
	b := newBucket(100, startTime)
	b.tokens = 0
	b.lent = []loan{{rate: 90, expiresAt: afterMillis(200)}}
	b.borrowed = []loan{{rate: 20, expiresAt: afterMillis(400)}}
	b.fill(afterMillis(500))
	// 200 ms at 30, 200 ms at 120, 100 ms at 100 a second.
	must.InDelta(t, 6+24+10, b.tokens, tolerance)
	must.SliceEmpty(t, b.lent)
	must.SliceEmpty(t, b.borrowed)
	b.fill(afterMillis(400))
	must.InDelta(t, 40, b.tokens, tolerance, must.Sprint("time does not go back"))
}

// TestFillKeepsLoansThatLast keeps a loan until the moment of its end.
func TestFillKeepsLoansThatLast(t *testing.T) {
	b := newBucket(10, startTime)
	b.lent = []loan{{rate: 1, expiresAt: afterMillis(300)}}
	b.fill(afterMillis(299))
	must.Len(t, 1, b.lent)
	b.fill(afterMillis(300))
	must.SliceEmpty(t, b.lent)
}

// TestTokensAreKeptForOneSecond bounds what a bucket without requests gathers.
func TestTokensAreKeptForOneSecond(t *testing.T) {
	for _, c := range []struct{ base, kept float64 }{{100, 100}, {0.25, MinBurst}} {
		b := newBucket(c.base, startTime)
		b.fill(startTime.Add(time.Hour))
		must.Eq(t, c.kept, b.tokens)
	}
}

// TestTakeTellsWhenToComeBack empties a bucket and comes back when it says.
func TestTakeTellsWhenToComeBack(t *testing.T) {
	b := newBucket(4, startTime)
	for range 4 {
		ok, after := b.take(startTime)
		must.True(t, ok)
		must.Eq(t, 0, after)
	}
	ok, after := b.take(afterMillis(100))
	must.False(t, ok)
	must.InDelta(t, 0.150, after.Seconds(), 1e-6, must.Sprint("0.4 of a token are there, 4 come in a second"))
	ok, _ = b.take(afterMillis(249))
	must.False(t, ok)
	ok, _ = b.take(afterMillis(251))
	must.True(t, ok)
	must.Eq(t, 7, b.arrivals)
}

// TestTakeWithoutRate names the end of the loans when all is lent.
func TestTakeWithoutRate(t *testing.T) {
	b := newBucket(4, startTime)
	b.tokens = 0
	b.lent = []loan{{rate: 4, expiresAt: startTime.Add(LoanLifetime)}}
	ok, after := b.take(startTime)
	must.False(t, ok)
	must.Eq(t, LoanLifetime, after)
}

// TestObserveTakesTheMeanDemand weighs the new period with one half.
func TestObserveTakesTheMeanDemand(t *testing.T) {
	b := newBucket(1, startTime)
	b.arrivals = 30
	b.observe(startTime)
	must.Eq(t, 30, b.arrivals, must.Sprint("no time has passed"))
	b.observe(afterMillis(2000))
	must.InDelta(t, 7.5, b.demand, tolerance)
	must.Eq(t, 0, b.arrivals)
	b.observe(afterMillis(3000))
	must.InDelta(t, 3.75, b.demand, tolerance)
}

// TestIdleBucketsAreKeptForAMinute looks around the end of the minute, and at loans.
func TestIdleBucketsAreKeptForAMinute(t *testing.T) {
	b := newBucket(1, startTime)
	must.False(t, b.idle(startTime.Add(idleTimeout)))
	must.True(t, b.idle(startTime.Add(idleTimeout+1)))
	for _, loans := range []*[]loan{&b.lent, &b.borrowed} {
		*loans = []loan{{rate: 1, expiresAt: startTime.Add(2 * idleTimeout)}}
		must.False(t, b.idle(startTime.Add(idleTimeout+1)))
		*loans = nil
	}
}

// TestLackingCountsLoansThatLast asks for what demand and headroom need beyond the own rate.
func TestLackingCountsLoansThatLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		demand  float64
		lent    []loan
		loans   []loan
		lacking float64
	}{
		{name: "enough", demand: 8, lacking: 0},
		{name: "too little", demand: 16, lacking: 10},
		{name: "lent", demand: 8, lent: []loan{{rate: 4, expiresAt: afterMillis(1000)}}, lacking: 4},
		{name: "a loan that lasts", demand: 16, loans: []loan{{rate: 7, expiresAt: startTime.Add(LoanRequestPeriod + 1)}}, lacking: 3},
		{name: "a loan that ends before the next ask", demand: 16, loans: []loan{{rate: 7, expiresAt: startTime.Add(LoanRequestPeriod)}}, lacking: 10},
		{name: "more than needed", demand: 16, loans: []loan{{rate: 20, expiresAt: startTime.Add(LoanLifetime)}}, lacking: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBucket(10, startTime)
			b.demand, b.lent, b.borrowed = c.demand, c.lent, c.loans
			must.InDelta(t, c.lacking, b.shortfall(), tolerance)
		})
	}
}

// TestLendKeepsWhatTheDemandNeeds lends at most what is spare, for the lifetime of a loan.
func TestLendKeepsWhatTheDemandNeeds(t *testing.T) {
	for _, c := range []struct{ demand, lent, wanted, given float64 }{
		{demand: 4, wanted: 100, given: 5},
		{demand: 4, wanted: 2, given: 2},
		{demand: 4, lent: 3, wanted: 100, given: 2},
		{demand: 8, wanted: 1, given: 0},
		{demand: 20, wanted: 1, given: 0},
	} {
		b := newBucket(10, startTime)
		b.demand = c.demand
		if c.lent > 0 {
			b.lent = []loan{{rate: c.lent, expiresAt: afterMillis(2000)}}
		}
		before := len(b.lent)
		must.InDelta(t, c.given, b.lend(c.wanted, startTime), tolerance)
		if c.given == 0 {
			must.Len(t, before, b.lent)
			continue
		}
		last := b.lent[len(b.lent)-1]
		must.Eq(t, startTime.Add(LoanLifetime), last.expiresAt)
		must.InDelta(t, 10-c.lent-c.given, b.tokens, tolerance, must.Sprint("tokens beyond the new rate go with it"))
	}
}

// TestBorrowTakesNoLoanThatHasEnded compares the end with the time of arrival.
func TestBorrowTakesNoLoanThatHasEnded(t *testing.T) {
	b := newBucket(10, startTime)
	b.borrow(5, afterMillis(100), afterMillis(100))
	must.SliceEmpty(t, b.borrowed)
	b.borrow(5, afterMillis(101), afterMillis(100))
	must.Len(t, 1, b.borrowed)
}

// TestWantsInMessages packs rates and reads them again; what is cut or too long is an error.
func TestWantsInMessages(t *testing.T) {
	wants := make(Rates, maxRates)
	for i := range wants {
		wants[i] = Rate{Key: KeyOf("s", "o") + Key(i), PerSecond: float64(i) / 4}
	}
	text, err := wants.MarshalJSON()
	must.NoError(t, err)
	var read Rates
	must.NoError(t, read.UnmarshalJSON(text))
	must.Eq(t, wants, read)

	packed, err := wants.MarshalBinary()
	must.NoError(t, err)
	for length := range packed {
		must.Error(t, read.UnmarshalBinary(packed[:length]))
	}
	tooMany, err := append(wants, Rate{}).MarshalBinary()
	must.NoError(t, err)
	must.Error(t, read.UnmarshalBinary(tooMany))
	must.Error(t, read.UnmarshalJSON([]byte(`7`)))
	must.Error(t, read.UnmarshalJSON([]byte(`"!"`)))
}
