package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// The expected lifetimes, stated independently of the package's own constants.
const (
	suspicionLifetime   = 2 * time.Minute
	reservationLifetime = 15 * time.Second
	attributedLifetime  = 10 * time.Second
	massFailureWindow   = 500 * time.Millisecond
)

func suspects(f quarantine.Fingerprint) quarantine.Notice {
	return quarantine.Notice{Suspects: []quarantine.Fingerprint{f}}
}

func convicted(f quarantine.Fingerprint) quarantine.Notice {
	return quarantine.Notice{Convicted: []quarantine.Fingerprint{f}}
}

func cleared(f quarantine.Fingerprint) quarantine.Notice {
	return quarantine.Notice{Cleared: []quarantine.Fingerprint{f}}
}

// TestState applies notices to a guard and checks a fingerprint's state some time later.
func TestState(t *testing.T) {
	for _, c := range []struct {
		name    string
		notices []quarantine.Notice
		later   time.Duration
		wanted  quarantine.State
	}{
		{name: "unknown", wanted: quarantine.StateFree},
		{name: "suspected", notices: []quarantine.Notice{suspects(1)}, wanted: quarantine.StateSuspect},
		{name: "suspected for long", notices: []quarantine.Notice{suspects(1)}, later: suspicionLifetime - 1, wanted: quarantine.StateSuspect},
		{name: "suspicion has ended", notices: []quarantine.Notice{suspects(1)}, later: suspicionLifetime, wanted: quarantine.StateFree},
		{name: "cleared", notices: []quarantine.Notice{suspects(1), cleared(1)}, wanted: quarantine.StateFree},
		{name: "another one cleared", notices: []quarantine.Notice{suspects(1), cleared(2)}, wanted: quarantine.StateSuspect},
		{name: "convicted", notices: []quarantine.Notice{suspects(1), convicted(1)}, wanted: quarantine.StateConvicted},
		{name: "convicted, cleared late", notices: []quarantine.Notice{convicted(1), cleared(1)}, wanted: quarantine.StateConvicted},
		{name: "convicted, suspected late", notices: []quarantine.Notice{convicted(1), suspects(1)}, wanted: quarantine.StateConvicted},
		{name: "convicted for long", notices: []quarantine.Notice{convicted(1)}, later: quarantine.ConvictionLifetime - 1, wanted: quarantine.StateConvicted},
		{name: "conviction has ended", notices: []quarantine.Notice{convicted(1)}, later: quarantine.ConvictionLifetime, wanted: quarantine.StateFree},
	} {
		t.Run(c.name, func(t *testing.T) {
			guard := quarantine.NewReplica()
			for _, notice := range c.notices {
				guard.Apply(notice, startTime)
			}
			must.Eq(t, c.wanted, guard.State(1, startTime.Add(c.later)))
		})
	}
}

// TestConvictionIsNotProlonged repeats the notice of a conviction shortly before its end.
func TestConvictionIsNotProlonged(t *testing.T) {
	guard := quarantine.NewReplica()
	guard.Apply(convicted(1), startTime)
	guard.Apply(convicted(1), startTime.Add(quarantine.ConvictionLifetime-1))
	must.Eq(t, quarantine.StateFree, guard.State(1, startTime.Add(quarantine.ConvictionLifetime)))
}

// TestDecisionsAreApplied applies each decision of the arbiter to a suspect of the guard's daemon.
func TestDecisionsAreApplied(t *testing.T) {
	for _, c := range []struct {
		decision quarantine.Decision
		wanted   quarantine.State
	}{
		{quarantine.DecisionFree, quarantine.StateFree},
		{quarantine.DecisionRefuse, quarantine.StateConvicted},
		{quarantine.DecisionReserved, quarantine.StateSuspect},
		{quarantine.DecisionWait, quarantine.StateSuspect},
	} {
		guard := quarantine.NewReplica()
		guard.MarkSuspect(1, nil, startTime)
		guard.ApplyDecision(1, c.decision, startTime)
		must.Eq(t, c.wanted, guard.State(1, startTime), must.Sprint(c.decision))
	}
}

// TestCrashesAreReportedOnce checks that crashes are returned only once, and are dropped when their
// fingerprint is cleared.
func TestCrashesAreReportedOnce(t *testing.T) {
	guard := quarantine.NewReplica()
	guard.MarkSuspect(1, []chicoryhall.EndpointID{"a", "b"}, startTime)
	guard.MarkSuspect(1, []chicoryhall.EndpointID{"b", "c"}, startTime)
	guard.MarkSuspect(2, []chicoryhall.EndpointID{"d"}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b", "c"}, guard.TakeCrashed(1))
	must.SliceEmpty(t, guard.TakeCrashed(1))
	guard.Apply(cleared(2), startTime)
	guard.Apply(quarantine.Notice{}, startTime)
	must.SliceEmpty(t, guard.TakeCrashed(2))
}

// TestReservedEngines checks which engines are listed as reserved until their
// reservations are released or expire.
func TestReservedEngines(t *testing.T) {
	guard := quarantine.NewReplica()
	must.SliceEmpty(t, guard.ReservedEndpoints(startTime))
	guard.Apply(quarantine.Notice{Reserved: []chicoryhall.EndpointID{"b", "a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b"}, guard.ReservedEndpoints(startTime.Add(reservationLifetime-1)))
	guard.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"b"}, guard.ReservedEndpoints(startTime))
	must.SliceEmpty(t, guard.ReservedEndpoints(startTime.Add(reservationLifetime)))
	guard.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}, Reserved: []chicoryhall.EndpointID{"a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a"}, guard.ReservedEndpoints(startTime), must.Sprint("released and reserved again in one notice"))
}

// TestGuardCounts checks that only unexpired entries are counted.
func TestGuardCounts(t *testing.T) {
	guard := quarantine.NewReplica()
	guard.Apply(quarantine.Notice{
		Suspects: []quarantine.Fingerprint{1, 2}, Convicted: []quarantine.Fingerprint{3},
		Reserved: []chicoryhall.EndpointID{"a", "b", "c", "d"},
	}, startTime)
	for _, c := range []struct {
		later                         time.Duration
		suspects, convicted, reserved int
	}{{0, 2, 1, 4}, {reservationLifetime, 2, 1, 0}, {suspicionLifetime, 0, 1, 0}, {quarantine.ConvictionLifetime, 0, 0, 0}} {
		suspected, refused, reserved := guard.Counts(startTime.Add(c.later))
		must.Eq(t, []int{c.suspects, c.convicted, c.reserved}, []int{suspected, refused, reserved}, must.Sprint(c.later))
	}
}

// TestMergeConvictions merges convictions of another daemon: each lasts for its remaining
// time, capped at ConvictionLifetime.
func TestMergeConvictions(t *testing.T) {
	for _, c := range []struct {
		seconds int64
		lasts   time.Duration
	}{{0, 0}, {-1, 0}, {7, 7 * time.Second}, {1 << 20, quarantine.ConvictionLifetime}} {
		guard := quarantine.NewReplica()
		guard.Merge(quarantine.Convictions{Refused: []quarantine.Conviction{{Fingerprint: 1, Seconds: c.seconds}}}, startTime)
		must.Eq(t, c.lasts > 0, guard.State(1, startTime) == quarantine.StateConvicted)
		if c.lasts > 0 {
			must.Eq(t, quarantine.StateConvicted, guard.State(1, startTime.Add(c.lasts-1)))
			must.Eq(t, quarantine.StateFree, guard.State(1, startTime.Add(c.lasts)))
		}
	}
	guard := quarantine.NewReplica()
	guard.Apply(convicted(2), startTime)
	guard.Apply(convicted(1), startTime)
	guard.Apply(suspects(3), startTime)
	must.Eq(t, []quarantine.Conviction{{Fingerprint: 1, Seconds: 3599}, {Fingerprint: 2, Seconds: 3599}},
		guard.Convictions(startTime.Add(time.Millisecond)).Refused)
	must.SliceEmpty(t, guard.Convictions(startTime.Add(quarantine.ConvictionLifetime-time.Millisecond)).Refused)
}

// TestArbiterOf checks that all daemons with the same view choose the same living arbiter.
func TestArbiterOf(t *testing.T) {
	all := []chicoryhall.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	chosen := arbiterSeenBy(all, 0)
	for self := range all {
		must.Eq(t, chosen, arbiterSeenBy(all, self))
	}
	for i := range all {
		if all[i].ID == chosen {
			all[i].State = chicoryhall.MemberDead
		}
	}
	for self := range all {
		if all[self].ID != chosen {
			must.NotEq(t, chosen, arbiterSeenBy(all, self), must.Sprint("a dead member was chosen"))
		}
	}
}

// listedMembers is one daemon's view of the membership.
type listedMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (l listedMembers) Self() chicoryhall.Member           { return l.self }
func (l listedMembers) All() []chicoryhall.Member          { return l.others }
func (l listedMembers) Subscribe(func(chicoryhall.Member)) {}

func arbiterSeenBy(all []chicoryhall.Member, self int) chicoryhall.DaemonID {
	view := listedMembers{self: all[self]}
	view.others = append(view.others, all[:self]...)
	view.others = append(view.others, all[self+1:]...)
	return quarantine.ArbiterOf(view)
}

// arbiterClient is an arbiter with its own clock and short forms of the queries.
type arbiterClient struct {
	arbiter *quarantine.Arbiter
	now     time.Time
}

func newArbiterClient() *arbiterClient {
	return &arbiterClient{arbiter: quarantine.NewArbiter(), now: startTime}
}

// run asks to run a suspect on an engine and reports crashed engines.
func (client *arbiterClient) run(f quarantine.Fingerprint, request chicoryhall.RequestID, on chicoryhall.EndpointID, crashed ...chicoryhall.EndpointID) quarantine.Answer {
	answer, _ := client.arbiter.Ask(quarantine.Query{
		Fingerprint: f, Request: request, Endpoints: []chicoryhall.EndpointID{on}, Crashed: crashed,
	}, client.now)
	return answer
}

// report tells the arbiter that a suspect has passed or ended.
func (client *arbiterClient) report(kind quarantine.QueryKind, f quarantine.Fingerprint, request chicoryhall.RequestID) quarantine.Notice {
	_, notice := client.arbiter.Ask(quarantine.Query{Kind: kind, Fingerprint: f, Request: request}, client.now)
	return notice
}

// TestOnlyReportsOfHolderCount checks that reports of another request with the same
// fingerprint do not affect the holder's reservation.
func TestOnlyReportsOfHolderCount(t *testing.T) {
	for _, c := range []struct {
		kind    quarantine.QueryKind
		request chicoryhall.RequestID
		wanted  quarantine.Decision
	}{
		{quarantine.QueryPassed, "holder", quarantine.DecisionFree},
		{quarantine.QueryPassed, "other", quarantine.DecisionWait},
		{quarantine.QueryEnded, "holder", quarantine.DecisionReserved},
		{quarantine.QueryEnded, "other", quarantine.DecisionWait},
	} {
		client := newArbiterClient()
		must.Eq(t, quarantine.DecisionReserved, client.run(1, "holder", "b", "a").Decision)
		client.report(c.kind, 1, c.request)
		must.Eq(t, c.wanted, client.run(1, "next", "b").Decision, must.Sprint(c.kind, c.request))
	}
}

// TestHolderMayAskAgain checks that the holder can move its reservation to another engine.
func TestHolderMayAskAgain(t *testing.T) {
	client := newArbiterClient()
	must.Eq(t, quarantine.DecisionReserved, client.run(1, "holder", "b", "a").Decision)
	must.Eq(t, quarantine.DecisionReserved, client.run(1, "holder", "c").Decision)
	must.Eq(t, quarantine.DecisionReserved, client.run(2, "other", "b", "x").Decision, must.Sprint("b is free again"))
	answer := client.run(3, "third", "c", "y")
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	must.Eq(t, []chicoryhall.EndpointID{"b", "c"}, answer.Busy)
}

// TestCrashExcusedWithinMassFailureWindow crashes an unrelated engine some time before the suspect's
// reserved one: only within massFailureWindow does it save the suspect from conviction.
func TestCrashExcusedWithinMassFailureWindow(t *testing.T) {
	for _, c := range []struct {
		before time.Duration
		wanted quarantine.Decision
	}{{0, quarantine.DecisionReserved}, {massFailureWindow, quarantine.DecisionReserved}, {massFailureWindow + 1, quarantine.DecisionRefuse}} {
		client := newArbiterClient()
		must.Eq(t, quarantine.DecisionReserved, client.run(1, "holder", "b", "a").Decision)
		client.now = client.now.Add(time.Second)
		client.run(2, "other", "y", "x")
		client.now = client.now.Add(c.before)
		must.Eq(t, c.wanted, client.run(1, "holder", "c", "b").Decision, must.Sprint(c.before))
	}
}

// TestArbiterExpiry queries the arbiter right before and at the expiry of an attributed crash,
// of a suspect that no request runs, and of the reservation of a lost holder.
func TestArbiterExpiry(t *testing.T) {
	for _, c := range []struct {
		name    string
		lasts   time.Duration
		prepare func(*arbiterClient)
		ask     func(*arbiterClient) quarantine.Answer
		// before and after are the decisions right before and at the expiry.
		before, after quarantine.Decision
	}{
		{
			name: "explained crash", lasts: attributedLifetime,
			prepare: func(client *arbiterClient) { client.run(1, "holder", "c", "b") },
			ask:     func(client *arbiterClient) quarantine.Answer { return client.run(2, "other", "d", "b") },
			before:  quarantine.DecisionFree, after: quarantine.DecisionReserved,
		},
		{
			name: "suspicion", lasts: suspicionLifetime,
			prepare: func(client *arbiterClient) { client.report(quarantine.QueryEnded, 1, "holder") },
			ask:     func(client *arbiterClient) quarantine.Answer { return client.run(1, "next", "b") },
			before:  quarantine.DecisionReserved, after: quarantine.DecisionFree,
		},
		{
			name: "reservation", lasts: reservationLifetime,
			prepare: func(*arbiterClient) {},
			ask:     func(client *arbiterClient) quarantine.Answer { return client.run(1, "next", "b") },
			before:  quarantine.DecisionWait, after: quarantine.DecisionReserved,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for later, wanted := range map[time.Duration]quarantine.Decision{c.lasts - 1: c.before, c.lasts: c.after} {
				client := newArbiterClient()
				must.Eq(t, quarantine.DecisionReserved, client.run(1, "holder", "b", "a").Decision)
				c.prepare(client)
				client.now = client.now.Add(later)
				must.Eq(t, wanted, c.ask(client).Decision, must.Sprint(later))
			}
		})
	}
}

// TestOldestSuspectIsEvicted adds one suspect more than are kept: the one that expires first is
// dropped, unless it holds a reservation.
func TestOldestSuspectIsEvicted(t *testing.T) {
	const most = 8192
	client := newArbiterClient()
	client.run(1, "holder", "b", "a")
	for i := range most - 1 {
		client.now = client.now.Add(time.Microsecond)
		client.arbiter.Ask(quarantine.Query{Fingerprint: quarantine.Fingerprint(i + 2), Request: "r", Suspect: true}, client.now)
		client.report(quarantine.QueryEnded, quarantine.Fingerprint(i+2), "r")
	}
	client.arbiter.Ask(quarantine.Query{Fingerprint: most + 1, Request: "r", Suspect: true}, client.now)
	must.Eq(t, quarantine.DecisionWait, client.run(1, "next", "b").Decision, must.Sprint("a suspect with a reservation must be kept"))
	must.Eq(t, quarantine.DecisionFree, client.run(2, "next", "c").Decision, must.Sprint("the oldest suspect must be dropped"))
	must.Eq(t, quarantine.DecisionReserved, client.run(3, "next", "c").Decision)
}

// TestNoticeEmpty checks Empty for a notice without changes and for each kind of change.
func TestNoticeEmpty(t *testing.T) {
	must.True(t, (&quarantine.Notice{}).Empty())
	engines, fingerprints := []chicoryhall.EndpointID{"a"}, []quarantine.Fingerprint{1}
	for _, notice := range []quarantine.Notice{
		{Suspects: fingerprints}, {Convicted: fingerprints}, {Cleared: fingerprints}, {Reserved: engines}, {Released: engines},
	} {
		must.False(t, notice.Empty())
	}
}
