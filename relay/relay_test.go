package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/timer"
)

const service = chicoryhall.ServiceName("s")

var start = time.Unix(1000, 0)

// members is a chicoryhall.Members with fixed entries.
type members struct {
	all     []chicoryhall.Member
	changed []func(chicoryhall.Member)
}

func (m *members) Self() chicoryhall.Member {
	return chicoryhall.Member{ID: "self", FailureDomain: "x"}
}

func (m *members) Others() []chicoryhall.Member { return append([]chicoryhall.Member(nil), m.all...) }

func (m *members) Subscribe(changed func(chicoryhall.Member)) { m.changed = append(m.changed, changed) }

// member returns a daemon that takes requests.
func member(id chicoryhall.DaemonID, domain chicoryhall.FailureDomain) chicoryhall.Member {
	return chicoryhall.Member{ID: id, FailureDomain: domain, PeerAddress: "address of " + string(id), PeerKey: "key"}
}

func TestPeersAreChosen(t *testing.T) {
	dead, old, guest := member("dead", "x"), member("old", "x"), member("guest", "x")
	dead.State, old.PeerKey, guest.State = chicoryhall.MemberDead, "", chicoryhall.MemberSuspect
	released := func(outcome relay.Outcome) func(*relay.Peers) {
		return func(p *relay.Peers) { p.Release("near", service, outcome, start) }
	}
	cases := []struct {
		name     string
		all      []chicoryhall.Member
		before   func(*relay.Peers)
		service  chicoryhall.ServiceName
		excluded []chicoryhall.DaemonID
		after    time.Duration
		want     chicoryhall.DaemonID
	}{
		{"the same domain first", []chicoryhall.Member{member("far", "y"), member("near", "x")}, nil, service, nil, 0, "near"},
		{"another domain if the first has more", []chicoryhall.Member{member("far", "y"), member("near", "x")}, func(p *relay.Peers) { p.Take(service, nil, start) }, service, nil, 0, "far"},
		{"none that are dead, or take no requests", []chicoryhall.Member{dead, old}, nil, service, nil, 0, ""},
		{"none that are excluded", []chicoryhall.Member{member("near", "x")}, nil, service, []chicoryhall.DaemonID{"near"}, 0, ""},
		{"none that were not reached", []chicoryhall.Member{member("near", "x")}, released(relay.OutcomeLost), "other", nil, 0, ""},
		{"again after a while", []chicoryhall.Member{member("near", "x")}, released(relay.OutcomeLost), service, nil, 500 * time.Millisecond, "near"},
		{"none that were unable", []chicoryhall.Member{member("near", "x")}, released(relay.OutcomeUnable), service, nil, 0, ""},
		{"those for another service", []chicoryhall.Member{member("near", "x")}, released(relay.OutcomeUnable), "other", nil, 0, "near"},
		{"those that have answered first", []chicoryhall.Member{member("near", "x"), member("far", "y")}, func(p *relay.Peers) {
			p.Release("far", service, relay.OutcomeAnswered, start)
		}, service, nil, 0, "far"},
		{"none that hand over requests themselves", []chicoryhall.Member{guest, member("far", "y")}, nil, service, nil, 0, "far"},
		{"those that answered", []chicoryhall.Member{member("near", "x")}, released(relay.OutcomeAnswered), service, nil, 0, "near"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := relay.NewPeers(&members{all: c.all})
			if c.before != nil {
				c.before(p)
			}
			got, found := p.Take(c.service, c.excluded, start.Add(c.after))
			must.Eq(t, c.want != "", found)
			must.Eq(t, c.want, got.ID)
		})
	}
}

// TestLoadIsSpread takes peers for many requests that take equally long, beside daemons that do the same.
func TestLoadIsSpread(t *testing.T) {
	p := relay.NewPeers(&members{all: []chicoryhall.Member{member("a", "x"), member("b", "x"), member("c", "y")}})
	counts := make(map[chicoryhall.DaemonID]int)
	for range 120 {
		peer, found := p.Take(service, nil, start)
		must.True(t, found)
		counts[peer.ID]++
	}
	must.GreaterEq(t, 40, counts["a"])
	must.GreaterEq(t, 40, counts["b"])
	must.GreaterEq(t, 25, counts["c"])
}

// TestBreakerFollowsTheEndpoints opens a breaker and lets probes and trials show what they may.
func TestBreakerFollowsTheEndpoints(t *testing.T) {
	at := func(after time.Duration) time.Time { return start.Add(after) }
	progressAt := func(after time.Duration) func() time.Time {
		return func() time.Time { return at(after) }
	}
	b := relay.NewBreakers()
	isOpen, opened := b.Open(service, at(0), at(500*time.Millisecond))
	must.False(t, isOpen || opened)
	isOpen, opened = b.Open(service, at(0), at(time.Second))
	must.True(t, isOpen && opened)
	isOpen, opened = b.Open(service, at(0), at(time.Second))
	must.True(t, isOpen && !opened)
	must.False(t, b.TakeTrial(service, true, at(2*time.Second)))
	b.Probed(service, at(2*time.Second))
	must.False(t, b.TakeTrial(service, false, at(2*time.Second)))
	must.True(t, b.TakeTrial(service, true, at(2*time.Second)))
	must.False(t, b.TakeTrial(service, true, at(2*time.Second)))
	must.False(t, b.TakeTrial(service, true, at(4*time.Second)))
	pause, isOpen := b.ProbePause(service)
	must.True(t, isOpen)
	must.Eq(t, 2*time.Second, pause)
	b.Probed(service, at(6*time.Second))
	must.True(t, b.TakeTrial(service, false, at(8*time.Second)))
	isOpen, closed := b.IsOpen(service, progressAt(0))
	must.True(t, isOpen && !closed)
	isOpen, closed = b.IsOpen(service, progressAt(9*time.Second))
	must.True(t, !isOpen && closed)
	_, isOpen = b.ProbePause(service)
	must.False(t, isOpen)
	must.Eq(t, 0, b.Count())
}

func TestSilenceOpensBreaker(t *testing.T) {
	cases := []struct {
		name         string
		endpoints    []chicoryhall.EndpointID
		lastProgress time.Duration
		otherIsOpen  bool
		want         bool
	}{
		{"one endpoint", []chicoryhall.EndpointID{"a"}, -time.Second, false, false},
		{"one endpoint twice", []chicoryhall.EndpointID{"a", "a"}, -time.Second, false, false},
		{"two endpoints", []chicoryhall.EndpointID{"a", "b"}, -time.Second, false, true},
		{"two endpoints, progress at others", []chicoryhall.EndpointID{"a", "b"}, -100 * time.Millisecond, false, false},
		{"one endpoint while another service is out of reach", []chicoryhall.EndpointID{"a"}, -time.Second, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := relay.NewBreakers()
			if c.otherIsOpen {
				b.Open("other", time.Time{}, start)
			}
			opened := false
			for _, endpoint := range c.endpoints {
				opened = b.Silent(service, endpoint, start.Add(c.lastProgress), start)
			}
			must.Eq(t, c.want, opened)
		})
	}
}

// TestGuestsLeaveTheirPartOfTheEndpoints counts a daemon as suspect while it hands over requests.
func TestGuestsLeaveTheirPartOfTheEndpoints(t *testing.T) {
	clock := timer.NewManual(start)
	g := relay.NewGuests(&members{all: []chicoryhall.Member{member("a", "x"), member("b", "x")}}, clock)
	changes := 0
	g.Subscribe(func(chicoryhall.Member) { changes++ })
	states := func() (all []chicoryhall.MemberState) {
		for _, one := range g.Others() {
			all = append(all, one.State)
		}
		return all
	}
	g.Seen("a")
	must.Eq(t, []chicoryhall.MemberState{chicoryhall.MemberSuspect, chicoryhall.MemberAlive}, states())
	must.Eq(t, 1, changes)
	clock.Advance(1500 * time.Millisecond)
	g.Seen("a")
	clock.Advance(time.Second)
	must.Eq(t, 1, g.Count())
	clock.Advance(time.Second)
	must.Eq(t, 0, g.Count())
	must.Eq(t, []chicoryhall.MemberState{chicoryhall.MemberAlive, chicoryhall.MemberAlive}, states())
	must.Eq(t, 2, changes)
}

func TestTicketsOpenTheirReceiverOnly(t *testing.T) {
	cases := []struct {
		name, key, receiver string
		want                bool
	}{
		{"the receiver's key", "k", "k", true},
		{"another key", "k", "l", false},
		{"no key", "", "k", false},
		{"a receiver without a key", "", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			header := http.Header{"Kept": {"1"}}
			relay.NewTicket("d", 7, 2, relay.Peer{Key: c.key}).Add(header)
			ticket := relay.TakeTicket(header)
			must.Eq(t, c.want, ticket.Opens(c.receiver))
			must.Eq(t, chicoryhall.DaemonID("d"), ticket.From)
			must.Eq(t, 7, ticket.Rules)
			must.Eq(t, 2, ticket.Runs)
			must.Eq(t, http.Header{"Kept": {"1"}}, header)
		})
	}
}

// TestBrokenHeadersChangeNothing reads headers as a broken peer may send them.
func TestBrokenHeadersChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := make(http.Header)
		for _, name := range []string{"Relay-From", "Relay-Key", "Relay-Rules", "Relay-Runs", "Relay-Reply"} {
			if rapid.Bool().Draw(t, "present") {
				header.Set(name, rapid.String().Draw(t, name))
			}
		}
		hasReply := header.Get("Relay-Reply") != ""
		ticket := relay.TakeTicket(header)
		must.False(t, ticket.Opens("the key"))
		must.GreaterEq(t, 1, ticket.Runs)
		must.Eq(t, hasReply, relay.TakeReply(header) != relay.ReplyNone)
		must.MapEmpty(t, header)
	})
}
