package pace

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

const (
	// A limit allows factor times what it says in a window, and slack requests.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// stepTime is the time between two requests that a daemon would send.
	stepTime = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

// fleet is a number of daemons, spread evenly over failure domains.
type fleet struct {
	members []chicoryhall.Member
	self    int
	unknown bool
}

func newFleet(daemons, domains int) fleet {
	var f fleet
	for i := range daemons {
		domain := chicoryhall.FailureDomain(fmt.Sprint("d", i%domains))
		f.members = append(f.members, chicoryhall.Member{ID: chicoryhall.DaemonID(fmt.Sprint(i)), FailureDomain: domain})
	}
	return f
}

func (f fleet) Self() chicoryhall.Member           { return f.members[f.self] }
func (f fleet) Subscribe(func(chicoryhall.Member)) {}
func (f fleet) Known() bool                        { return !f.unknown }
func (f fleet) Others() (all []chicoryhall.Member) {
	for i, member := range f.members {
		if i != f.self {
			all = append(all, member)
		}
	}
	return all
}

// firstDomain places all endpoints in the first failure domain.
type firstDomain struct {
	changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)
}

func (*firstDomain) FailureDomain(chicoryhall.EndpointID) (chicoryhall.FailureDomain, bool) {
	return "d0", true
}

func (f *firstDomain) Subscribe(changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {
	f.changed = changed
}

// newLimiters returns the Limiter of each daemon, with random numbers that are the same in each run.
func newLimiters(f fleet) []*Limiter {
	random := rand.New(rand.NewPCG(1, uint64(len(f.members))))
	var all []*Limiter
	for i := range f.members {
		f.self = i
		limiter := New(NewShares(f), &firstDomain{}, event.NewLogger(io.Discard, "test", log.ErrorLevel))
		limiter.random = random.Float64
		all = append(all, limiter)
	}
	return all
}

func stated(perSecond float64, askedAt time.Time) Statement {
	return Statement{
		Endpoint: "e", Service: "s", AskedAt: askedAt,
		Limit: chicoryhall.StatedLimit{Kind: chicoryhall.LimitStated, PerSecond: perSecond},
	}
}

func TestSharesAddUpToLess(t *testing.T) {
	cases := []struct {
		daemons, domains int
		domain           chicoryhall.FailureDomain
		want             float64
	}{
		{1, 1, "d0", usedShare},
		{1, 1, "elsewhere", usedShare},
		{8, 3, "d0", usedShare},
		{8, 3, "elsewhere", usedShare},
		{89, 3, "d2", usedShare},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			sum := 0.0
			f := newFleet(c.daemons, c.domains)
			for f.self = range f.members {
				sum += NewShares(f).Of(c.domain, start)
			}
			must.InDelta(t, c.want, sum, 1e-9)
		})
	}
}

func TestDaemonThatKnowsNoOthersTakesLittle(t *testing.T) {
	f := newFleet(8, 3)
	f.unknown = true
	must.Eq(t, usedShare/unknownDaemons, NewShares(f).Of("d0", start))
}

// TestLimitIsKeptByAllDaemons lets all daemons send as much as they may, from the time at which the endpoint states its
// limit or after a pause, and counts the requests in each window.
func TestLimitIsKeptByAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 2, 8, 30, 89} {
		for _, limit := range []float64{0, 0.2, 1, 3.5, 7.4, 60} {
			for _, idle := range []time.Duration{0, time.Minute} {
				t.Run(fmt.Sprintf("%d daemons, %v a second, idle for %v", daemons, limit, idle), func(t *testing.T) {
					limiters := newLimiters(newFleet(daemons, min(3, daemons)))
					for _, limiter := range limiters {
						limiter.Record(stated(limit, start), start)
					}
					var sent []time.Duration
					for at := idle; at < idle+time.Minute; at += stepTime {
						for _, limiter := range limiters {
							if limiter.Take("e", start.Add(at)) {
								sent = append(sent, at)
							}
						}
					}
					allowed := int(factor*limit*window.Seconds()) + slack
					for i, at := range sent {
						inWindow := 0
						for _, later := range sent[i:] {
							if later < at+window {
								inWindow++
							}
						}
						must.LessEq(t, allowed, inWindow)
					}
					must.GreaterEq(t, 0.7*limit, float64(len(sent))/60)
					must.Positive(t, len(sent))
				})
			}
		}
	}
}

// TestLimitEnds records answers one after another.
func TestLimitEnds(t *testing.T) {
	second := func(number int) time.Time { return start.Add(time.Duration(number) * time.Second) }
	none := func(askedAt time.Time) Statement { return Statement{Endpoint: "e", Service: "s", AskedAt: askedAt} }
	refused := none(second(2))
	refused.Refused = true
	unreadable := none(second(2))
	unreadable.Limit = chicoryhall.StatedLimit{Kind: chicoryhall.LimitUnreadable, Text: "x"}
	cases := []struct {
		name       string
		statements []Statement // each recorded a second after the one before
		limited    bool
	}{
		{"never stated", []Statement{none(start)}, false},
		{"stated", []Statement{stated(1, start)}, true},
		{"zero", []Statement{stated(0, start)}, true},
		{"none in an answer to a later request", []Statement{stated(1, start), none(second(2))}, false},
		{"none in an answer to an earlier request", []Statement{stated(1, start), none(start)}, true},
		{"none in a refusal", []Statement{stated(1, start), refused}, true},
		{"unreadable before", []Statement{unreadable}, false},
		{"unreadable after", []Statement{stated(1, start), unreadable}, true},
		{"stated again", []Statement{stated(1, start), none(second(2)), stated(1, second(2))}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limiter := newLimiters(newFleet(1, 1))[0]
			for i, statement := range c.statements {
				limiter.Record(statement, second(i))
			}
			must.Eq(t, c.limited, limiter.Count() == 1)
		})
	}
}

// TestChangedLimitHolds changes a limit while it is used.
func TestChangedLimitHolds(t *testing.T) {
	limiter := newLimiters(newFleet(1, 1))[0]
	now := start
	count := func(seconds int) int {
		sent := 0
		for range seconds * 100 {
			now = now.Add(stepTime)
			if limiter.Take("e", now) {
				sent++
			}
		}
		return sent
	}
	for _, limit := range []float64{10, 2, 40, 0.5} {
		limiter.Record(stated(limit, now), now)
		count(2)
		must.Between(t, int(0.7*limit*20), count(20), int(limit*20))
	}
}

// TestLimitOutlivesTheList takes the first request that a limit allows, changes the list and looks whether the limit holds.
func TestLimitOutlivesTheList(t *testing.T) {
	const listed, unlisted = chicoryhall.EndpointReady, chicoryhall.EndpointDead
	cases := []struct {
		name    string
		states  []chicoryhall.EndpointState
		after   time.Duration
		limited bool
		count   int
	}{
		{"suspect", []chicoryhall.EndpointState{chicoryhall.EndpointSuspect}, time.Second, true, 1},
		{"not listed", []chicoryhall.EndpointState{unlisted}, unlistedMemory, false, 1},
		{"listed again", []chicoryhall.EndpointState{unlisted, listed}, time.Second, true, 1},
		{"not listed for long", []chicoryhall.EndpointState{unlisted}, unlistedMemory + 1, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			limiter := newLimiters(newFleet(1, 1))[0]
			limiter.Record(stated(0, start), start)
			for _, state := range c.states {
				limiter.endpoints.(*firstDomain).changed("e", state)
			}
			limiter.Take("e", start.Add(c.after))
			exhausted, _ := limiter.Exhausted("s", start.Add(c.after))
			must.Eq(t, c.limited, len(exhausted) == 1)
			must.Eq(t, c.count, limiter.Count())
		})
	}
}

// TestExhaustedTellsWhenToReturn takes the request that a limit allows.
func TestExhaustedTellsWhenToReturn(t *testing.T) {
	limiter := newLimiters(newFleet(1, 1))[0]
	limiter.Record(stated(0.5, start), start)
	now := start.Add(time.Second)
	for !limiter.Take("e", now) {
		now = now.Add(stepTime)
	}
	exhausted, wait := limiter.Exhausted("s", now)
	must.Eq(t, []chicoryhall.EndpointID{"e"}, exhausted)
	must.Between(t, 2*time.Second, wait, 3*time.Second)
	others, _ := limiter.Exhausted("another", now)
	must.SliceEmpty(t, others)
	exhausted, _ = limiter.Exhausted("s", now.Add(wait))
	must.SliceEmpty(t, exhausted)
}
