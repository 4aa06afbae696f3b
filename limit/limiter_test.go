package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/limit"
)

var startTime = time.Unix(1_000_000, 0)

// fakeDocuments is a chicoryhall.Documents of one service with one limited organisation.
type fakeDocuments struct{ document *chicoryhall.Document }

func newDocuments(rate float64) *fakeDocuments {
	return &fakeDocuments{&chicoryhall.Document{
		Service:       "draft",
		Organisations: []chicoryhall.DocumentOrganisation{{Name: "large", RequestsPerSecond: rate}, {Name: "free"}},
	}}
}

func (f *fakeDocuments) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	return chicoryhall.DocumentVersion{Document: f.document}, service == f.document.Service
}

func (f *fakeDocuments) All() []chicoryhall.DocumentVersion {
	return []chicoryhall.DocumentVersion{{Document: f.document}}
}
func (f *fakeDocuments) Subscribe(func(chicoryhall.DocumentVersion)) {}

// fakeMembers is one daemon's view of the membership.
type fakeMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (f *fakeMembers) Self() chicoryhall.Member           { return f.self }
func (f *fakeMembers) Others() []chicoryhall.Member       { return f.others }
func (f *fakeMembers) Subscribe(func(chicoryhall.Member)) {}

// fleet simulates daemons of several failure domains in virtual time.
type fleet struct {
	now      time.Time
	ids      []chicoryhall.DaemonID
	limiters map[chicoryhall.DaemonID]*limit.Limiter
	views    map[chicoryhall.DaemonID]*fakeMembers
	allowed  int
}

func newFleet(domains, perDomain int, rate float64) *fleet {
	f := &fleet{
		now:      startTime,
		limiters: make(map[chicoryhall.DaemonID]*limit.Limiter),
		views:    make(map[chicoryhall.DaemonID]*fakeMembers),
	}
	var all []chicoryhall.Member
	for i := range domains * perDomain {
		all = append(all, chicoryhall.Member{
			ID:            chicoryhall.DaemonID(fmt.Sprintf("d%d", i)),
			FailureDomain: chicoryhall.FailureDomain(fmt.Sprintf("f%d", i%domains)),
		})
	}
	for i, self := range all {
		view := &fakeMembers{self: self}
		for j, other := range all {
			if j != i {
				view.others = append(view.others, other)
			}
		}
		f.ids = append(f.ids, self.ID)
		f.views[self.ID] = view
		f.limiters[self.ID] = limit.New(newDocuments(rate), view)
	}
	return f
}

// requestLoans lets one daemon tick and request loans from its peers. Each grant is dropped if lost
// returns true; otherwise it arrives after the delay.
func (f *fleet) requestLoans(id chicoryhall.DaemonID, lost func() bool, delay time.Duration) {
	l := f.limiters[id]
	l.Tick(f.now)
	for peer, request := range l.LoanRequests() {
		grant := f.limiters[peer].Lend(request, f.now)
		if !lost() {
			l.Receive(grant, f.now, f.now.Add(delay))
		}
	}
}

func (f *fleet) request(id chicoryhall.DaemonID) {
	if ok, _ := f.limiters[id].Allow("draft", "large", f.now); ok {
		f.allowed++
	}
}

// maxOvershoot returns the number of requests that may be allowed beyond the rate times the elapsed
// time: those that the whole rate accumulates in BurstWindow, and MinBurst for each daemon.
func (f *fleet) maxOvershoot(rate float64) float64 {
	return rate*limit.BurstWindow.Seconds() + limit.MinBurst*float64(len(f.ids))
}

// TestSumNeverExceedsRate draws requests, loan requests, and lost and late grants at random. The
// requests allowed by all daemons together must not exceed the rate limit plus maxOvershoot.
func TestSumNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(4, 200).Draw(t, "rate"))
		f := newFleet(rapid.IntRange(1, 2).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "perDomain"), rate)
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				id := rapid.SampledFrom(f.ids).Draw(t, "daemon")
				for range rapid.IntRange(1, 400).Draw(t, "count") {
					f.request(id)
				}
			},
			"borrow": func(t *rapid.T) {
				id := rapid.SampledFrom(f.ids).Draw(t, "daemon")
				late := time.Duration(rapid.IntRange(0, 2500).Draw(t, "late")) * time.Millisecond
				f.requestLoans(id, func() bool { return rapid.Bool().Draw(t, "lost") }, late)
				f.now = f.now.Add(late)
			},
			"advance": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				elapsed := f.now.Sub(startTime).Seconds()
				must.LessEq(t, rate*elapsed+f.maxOvershoot(rate)+1e-6, float64(f.allowed))
			},
		})
	})
}

// offer sends requests at a constant rate to some daemons for the given duration. All daemons
// request loans every LoanRequestPeriod.
func (f *fleet) offer(ids []chicoryhall.DaemonID, perSecond float64, duration time.Duration) {
	step := time.Duration(float64(time.Second) / perSecond)
	nextLoanRequest := f.now.Add(limit.LoanRequestPeriod)
	end := f.now.Add(duration)
	for i := 0; f.now.Before(end); i++ {
		f.request(ids[i%len(ids)])
		f.now = f.now.Add(step)
		if f.now.Before(nextLoanRequest) {
			continue
		}
		nextLoanRequest = nextLoanRequest.Add(limit.LoanRequestPeriod)
		for _, id := range f.ids {
			f.requestLoans(id, func() bool { return false }, 0)
		}
	}
}

// TestSharesFollowDemand sends all requests to one of eight daemons of a domain. Through loans it
// must get at least half of the rate limit instead of one eighth, and no more than the limit.
func TestSharesFollowDemand(t *testing.T) {
	const rate, seconds = 100, 20
	f := newFleet(1, 8, rate)
	f.offer(f.ids[:1], 2*rate, 10*time.Second)
	f.allowed = 0
	f.offer(f.ids[:1], 2*rate, seconds*time.Second)
	t.Logf("one of eight daemons allowed %.2f of the rate", float64(f.allowed)/(rate*seconds))
	must.Between(t, 0.5*rate*seconds, float64(f.allowed), rate*seconds+f.maxOvershoot(rate))
}

// TestLateGrantExpiresOnTime delivers a grant 500 ms before the loan expires. After the expiry,
// when the lender uses its whole rate again, both daemons together must not exceed the limit, as
// they would if the lifetime were counted from the arrival of the grant.
func TestLateGrantExpiresOnTime(t *testing.T) {
	const rate = 100
	const late = 2500 * time.Millisecond
	f := newFleet(1, 2, rate)
	f.offer(f.ids[:1], 2*rate, 900*time.Millisecond)
	borrower, lender := f.limiters["d0"], f.limiters["d1"]
	borrower.Tick(f.now)
	requested := f.now
	grant := lender.Lend(borrower.LoanRequests()["d1"], f.now)
	must.Len(t, 1, grant.Loans)
	f.now = requested.Add(late)
	borrower.Receive(grant, requested, f.now)
	f.now = requested.Add(limit.LoanLifetime)
	for range 4 * rate {
		f.request("d0")
		f.request("d1")
	}
	f.allowed = 0
	const steps = 2000
	for range steps {
		f.now = f.now.Add(time.Millisecond)
		f.request("d0")
		f.request("d1")
	}
	must.Between(t, 0.95*rate*steps/1000, float64(f.allowed), rate*steps/1000+limit.MinBurst*2)
}

// TestEvenDemandGetsTheRate spreads the demand evenly over all daemons, as a load balancer does.
func TestEvenDemandGetsTheRate(t *testing.T) {
	const rate, seconds = 100, 20
	f := newFleet(3, 8, rate)
	f.offer(f.ids, 3*rate, seconds*time.Second)
	t.Logf("24 daemons allowed %.2f of the rate", float64(f.allowed)/(rate*seconds))
	must.Between(t, 0.95*rate*seconds, float64(f.allowed), rate*seconds+f.maxOvershoot(rate))
}

// TestIsolatedDomainUsesOnlyItsPart lets one of three domains see the other two as dead, as in a
// network partition. It must get its own third of the rate limit and no more.
func TestIsolatedDomainUsesOnlyItsPart(t *testing.T) {
	const rate, seconds = 90, 20
	f := newFleet(3, 2, rate)
	isolated := []chicoryhall.DaemonID{"d0", "d3"}
	for _, id := range isolated {
		view := f.views[id]
		for i := range view.others {
			if view.others[i].FailureDomain != view.self.FailureDomain {
				view.others[i].State = chicoryhall.MemberDead
			}
		}
	}
	f.offer(isolated, 3*rate, seconds*time.Second)
	must.Between(t, 0.95*rate/3*seconds, float64(f.allowed), rate/3*seconds+f.maxOvershoot(rate/3))
}

// TestLoanRequestsAlternateRates has a shortfall in more rates than fit into one message.
// Successive messages must start with different rates, so that each is requested equally often.
func TestLoanRequestsAlternateRates(t *testing.T) {
	const organisations, maxRates = 30, 24
	f := newFleet(1, 2, 1)
	documents := newDocuments(1)
	documents.document.Organisations = nil
	for i := range organisations {
		name := chicoryhall.Organisation(fmt.Sprintf("o%d", i))
		documents.document.Organisations = append(documents.document.Organisations,
			chicoryhall.DocumentOrganisation{Name: name, RequestsPerSecond: 2})
	}
	limiter := limit.New(documents, f.views["d0"])
	for _, organisation := range documents.document.Organisations {
		for range 10 {
			limiter.Allow("draft", organisation.Name, startTime)
		}
	}
	limiter.Tick(startTime.Add(limit.LoanRequestPeriod))
	seen := make(map[limit.Key]int)
	for range 5 {
		rates := limiter.LoanRequests()["d1"].Rates
		must.Len(t, maxRates, rates)
		for _, rate := range rates {
			seen[rate.Key]++
			must.Between(t, 5.0, rate.PerSecond, 5.5)
		}
	}
	must.MapLen(t, organisations, seen)
	for _, times := range seen {
		must.Eq(t, 4, times, must.Sprint("five messages of 24 name each of 30 four times"))
	}
}

// TestLendIgnoresInvalidRequests requests rates that are not positive or are not limited.
func TestLendIgnoresInvalidRequests(t *testing.T) {
	f := newFleet(1, 2, 100)
	for _, c := range []struct {
		organisation chicoryhall.Organisation
		rate         float64
		loans        int
	}{{"large", 1, 1}, {"large", 0, 0}, {"large", -1, 0}, {"free", 1, 0}, {"other", 1, 0}} {
		request := limit.LoanRequest{From: "d0", Rates: limit.Rates{{Key: limit.KeyOf("draft", c.organisation), PerSecond: c.rate}}}
		must.Len(t, c.loans, f.limiters["d1"].Lend(request, startTime).Loans, must.Sprint(c))
	}
}

func TestUnlimitedOrganisationPasses(t *testing.T) {
	f := newFleet(1, 1, 1)
	for range 1000 {
		ok, _ := f.limiters["d0"].Allow("draft", "free", startTime)
		must.True(t, ok)
	}
}

// BenchmarkAllow measures the check of one request. Each of five failure domains has one daemon
// more than a fifth of the given number, so 10 and 365 daemons run.
func BenchmarkAllow(b *testing.B) {
	for _, daemons := range []int{8, 360} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			f := newFleet(5, daemons/5+1, 1e9)
			b.ReportAllocs()
			for b.Loop() {
				f.limiters["d0"].Allow("draft", "large", startTime)
			}
		})
	}
}
