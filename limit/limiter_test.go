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

func (f *fakeDocuments) InForce(service chicoryhall.ServiceName) (chicoryhall.InForce, bool) {
	return chicoryhall.InForce{Document: f.document}, service == f.document.Service
}

func (f *fakeDocuments) All() []chicoryhall.InForce {
	return []chicoryhall.InForce{{Document: f.document}}
}
func (f *fakeDocuments) Subscribe(func(chicoryhall.InForce)) {}

// fakeMembers is one daemon's view of all.
type fakeMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (f *fakeMembers) Self() chicoryhall.Member           { return f.self }
func (f *fakeMembers) All() []chicoryhall.Member          { return f.others }
func (f *fakeMembers) Subscribe(func(chicoryhall.Member)) {}

// fleet is daemons of several failure domains in virtual time.
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

// requestLoans lets one daemon tick and requestLoans its peers; lost tells which grants do not arrive, and late by
// how long each does.
func (f *fleet) requestLoans(id chicoryhall.DaemonID, lost func() bool, late time.Duration) {
	l := f.limiters[id]
	l.Tick(f.now)
	for peer, ask := range l.LoanRequests() {
		grant := f.limiters[peer].Lend(ask, f.now)
		if !lost() {
			l.Receive(grant, f.now, f.now.Add(late))
		}
	}
}

func (f *fleet) request(id chicoryhall.DaemonID) {
	if ok, _ := f.limiters[id].Allow("draft", "large", f.now); ok {
		f.allowed++
	}
}

// maxOvershoot is the stated overshoot: one second of the rate, and one request a daemon.
func (f *fleet) maxOvershoot(rate float64) float64 {
	return rate*limit.BurstWindow.Seconds() + limit.MinBurst*float64(len(f.ids))
}

// TestSumNeverPassesTheRate draws arrivals, asks, lost and late grants. Mutation that it catches:
// a bucket that fills faster than its rate.
func TestSumNeverPassesTheRate(t *testing.T) {
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
			"ask": func(t *rapid.T) {
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

// offer lets requests come at one rate to some daemons for a time, with asks every AskPeriod.
func (f *fleet) offer(ids []chicoryhall.DaemonID, perSecond float64, duration time.Duration) {
	step := time.Duration(float64(time.Second) / perSecond)
	nextAsk := f.now.Add(limit.LoanRequestPeriod)
	end := f.now.Add(duration)
	for i := 0; f.now.Before(end); i++ {
		f.request(ids[i%len(ids)])
		f.now = f.now.Add(step)
		if f.now.Before(nextAsk) {
			continue
		}
		nextAsk = nextAsk.Add(limit.LoanRequestPeriod)
		for _, id := range f.ids {
			f.requestLoans(id, func() bool { return false }, 0)
		}
	}
}

// TestSharesFollowDemand sends everything to one daemon of a domain of eight. Mutations that it
// catches: asking nobody; not taking a loan off the lender's rate.
func TestSharesFollowDemand(t *testing.T) {
	const rate, seconds = 100, 20
	f := newFleet(1, 8, rate)
	f.offer(f.ids[:1], 2*rate, 10*time.Second)
	f.allowed = 0
	f.offer(f.ids[:1], 2*rate, seconds*time.Second)
	t.Logf("one of eight daemons allowed %.2f of the rate", float64(f.allowed)/(rate*seconds))
	must.Between(t, 0.5*rate*seconds, float64(f.allowed), rate*seconds+f.maxOvershoot(rate))
}

// TestLateGrantEndsWithTheLender lets a grant arrive shortly before the lender spends again.
// Mutation that it catches: counting a loan's lifetime from its arrival.
func TestLateGrantEndsWithTheLender(t *testing.T) {
	const rate = 100
	const late = 2500 * time.Millisecond
	f := newFleet(1, 2, rate)
	f.offer(f.ids[:1], 2*rate, 900*time.Millisecond)
	borrower, lender := f.limiters["d0"], f.limiters["d1"]
	borrower.Tick(f.now)
	asked := f.now
	grant := lender.Lend(borrower.LoanRequests()["d1"], f.now)
	must.Len(t, 1, grant.Loans)
	f.now = asked.Add(late)
	borrower.Receive(grant, asked, f.now)
	f.now = asked.Add(limit.LoanLifetime)
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

// TestEvenDemandGetsTheRate spreads the demand as a balancer does.
func TestEvenDemandGetsTheRate(t *testing.T) {
	const rate, seconds = 100, 20
	f := newFleet(3, 8, rate)
	f.offer(f.ids, 3*rate, seconds*time.Second)
	t.Logf("24 daemons allowed %.2f of the rate", float64(f.allowed)/(rate*seconds))
	must.Between(t, 0.95*rate*seconds, float64(f.allowed), rate*seconds+f.maxOvershoot(rate))
}

// TestCutOffDomainSpendsItsPart lets one of three domains see the others as dead. Mutation that it
// catches: counting only domains with live daemons in base.
func TestCutOffDomainSpendsItsPart(t *testing.T) {
	const rate, seconds = 90, 20
	f := newFleet(3, 2, rate)
	cut := []chicoryhall.DaemonID{"d0", "d3"}
	for _, id := range cut {
		view := f.views[id]
		for i := range view.others {
			if view.others[i].FailureDomain != view.self.FailureDomain {
				view.others[i].State = chicoryhall.MemberDead
			}
		}
	}
	f.offer(cut, 3*rate, seconds*time.Second)
	must.Between(t, 0.95*rate/3*seconds, float64(f.allowed), rate/3*seconds+f.maxOvershoot(rate/3))
}

// TestAsksNameOtherRatesEachTime lacks more rates than one message may name. Mutation that it
// catches: beginning each message with the same rate.
func TestAsksNameOtherRatesEachTime(t *testing.T) {
	const organisations, mostNamed = 30, 24
	f := newFleet(1, 2, 1)
	described := newDocuments(1)
	described.document.Organisations = nil
	for i := range organisations {
		name := chicoryhall.Organisation(fmt.Sprintf("o%d", i))
		described.document.Organisations = append(described.document.Organisations,
			chicoryhall.DocumentOrganisation{Name: name, RequestsPerSecond: 2})
	}
	limiter := limit.New(described, f.views["d0"])
	for _, organisation := range described.document.Organisations {
		for range 10 {
			limiter.Allow("draft", organisation.Name, startTime)
		}
	}
	limiter.Tick(startTime.Add(limit.LoanRequestPeriod))
	named := make(map[limit.Key]int)
	for range 5 {
		wants := limiter.LoanRequests()["d1"].Rates
		must.Len(t, mostNamed, wants)
		for _, want := range wants {
			named[want.Key]++
			must.Between(t, 5.0, want.PerSecond, 5.5)
		}
	}
	must.MapLen(t, organisations, named)
	for _, times := range named {
		must.Eq(t, 4, times, must.Sprint("five messages of 24 name each of 30 four times"))
	}
}

// TestLendsNothingForWhatIsNotWanted asks for rates that are none.
func TestLendsNothingForWhatIsNotWanted(t *testing.T) {
	f := newFleet(1, 2, 100)
	for _, c := range []struct {
		organisation chicoryhall.Organisation
		rate         float64
		loans        int
	}{{"large", 1, 1}, {"large", 0, 0}, {"large", -1, 0}, {"free", 1, 0}, {"other", 1, 0}} {
		ask := limit.LoanRequest{From: "d0", Rates: limit.Rates{{Key: limit.KeyOf("draft", c.organisation), PerSecond: c.rate}}}
		must.Len(t, c.loans, f.limiters["d1"].Lend(ask, startTime).Loans, must.Sprint(c))
	}
}

func TestUnlimitedOrganisationPasses(t *testing.T) {
	f := newFleet(1, 1, 1)
	for range 1000 {
		ok, _ := f.limiters["d0"].Allow("draft", "free", startTime)
		must.True(t, ok)
	}
}

// BenchmarkAllow is the cost of one request's check with the given number of daemons.
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
