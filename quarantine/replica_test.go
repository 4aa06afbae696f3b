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
	attributionLifetime = 10 * time.Second
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

// TestState applies notices to a replica and checks a fingerprint's state some time later.
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
			replica := quarantine.NewReplica()
			for _, notice := range c.notices {
				replica.Apply(notice, startTime)
			}
			must.Eq(t, c.wanted, replica.State(1, startTime.Add(c.later)))
		})
	}
}

// TestConvictionIsNotProlonged repeats the notice of a conviction shortly before its end.
func TestConvictionIsNotProlonged(t *testing.T) {
	replica := quarantine.NewReplica()
	replica.Apply(convicted(1), startTime)
	replica.Apply(convicted(1), startTime.Add(quarantine.ConvictionLifetime-1))
	must.Eq(t, quarantine.StateFree, replica.State(1, startTime.Add(quarantine.ConvictionLifetime)))
}

// TestDecisionsAreApplied applies each decision of the arbiter to a suspect of the replica's daemon.
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
		replica := quarantine.NewReplica()
		replica.MarkSuspect(1, nil, startTime)
		replica.ApplyDecision(1, c.decision, startTime)
		must.Eq(t, c.wanted, replica.State(1, startTime), must.Sprint(c.decision))
	}
}

// TestCrashesAreReportedOnce checks that crashes are returned only once, and are dropped when their
// fingerprint is cleared.
func TestCrashesAreReportedOnce(t *testing.T) {
	replica := quarantine.NewReplica()
	replica.MarkSuspect(1, []chicoryhall.EndpointID{"a", "b"}, startTime)
	replica.MarkSuspect(1, []chicoryhall.EndpointID{"b", "c"}, startTime)
	replica.MarkSuspect(2, []chicoryhall.EndpointID{"d"}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b", "c"}, replica.TakeCrashed(1))
	must.SliceEmpty(t, replica.TakeCrashed(1))
	replica.Apply(cleared(2), startTime)
	replica.Apply(quarantine.Notice{}, startTime)
	must.SliceEmpty(t, replica.TakeCrashed(2))
}

// TestReservedEndpoints checks which endpoints are listed as reserved until their reservations are
// released or expire.
func TestReservedEndpoints(t *testing.T) {
	replica := quarantine.NewReplica()
	must.SliceEmpty(t, replica.ReservedEndpoints(startTime))
	replica.Apply(quarantine.Notice{Reserved: []chicoryhall.EndpointID{"b", "a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b"}, replica.ReservedEndpoints(startTime.Add(reservationLifetime-1)))
	replica.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"b"}, replica.ReservedEndpoints(startTime))
	must.SliceEmpty(t, replica.ReservedEndpoints(startTime.Add(reservationLifetime)))
	replica.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}, Reserved: []chicoryhall.EndpointID{"a"}}, startTime)
	must.Eq(t, []chicoryhall.EndpointID{"a"}, replica.ReservedEndpoints(startTime), must.Sprint("released and reserved again in one notice"))
}

// TestReplicaCounts checks that only unexpired entries are counted.
func TestReplicaCounts(t *testing.T) {
	replica := quarantine.NewReplica()
	replica.Apply(quarantine.Notice{
		Suspects: []quarantine.Fingerprint{1, 2}, Convicted: []quarantine.Fingerprint{3},
		Reserved: []chicoryhall.EndpointID{"a", "b", "c", "d"},
	}, startTime)
	for _, c := range []struct {
		later                         time.Duration
		suspects, convicted, reserved int
	}{{0, 2, 1, 4}, {reservationLifetime, 2, 1, 0}, {suspicionLifetime, 0, 1, 0}, {quarantine.ConvictionLifetime, 0, 0, 0}} {
		suspectCount, convictedCount, reservedCount := replica.Counts(startTime.Add(c.later))
		must.Eq(t, []int{c.suspects, c.convicted, c.reserved}, []int{suspectCount, convictedCount, reservedCount}, must.Sprint(c.later))
	}
}

// TestMergeConvictions merges convictions of another daemon: each lasts for its remaining time,
// capped at ConvictionLifetime. The remaining time is rounded down to seconds.
func TestMergeConvictions(t *testing.T) {
	for _, c := range []struct {
		seconds int64
		lasts   time.Duration
	}{{0, 0}, {-1, 0}, {7, 7 * time.Second}, {1 << 20, quarantine.ConvictionLifetime}} {
		replica := quarantine.NewReplica()
		replica.Merge(quarantine.Convictions{Convicted: []quarantine.Conviction{{Fingerprint: 1, Seconds: c.seconds}}}, startTime)
		must.Eq(t, c.lasts > 0, replica.State(1, startTime) == quarantine.StateConvicted)
		if c.lasts > 0 {
			must.Eq(t, quarantine.StateConvicted, replica.State(1, startTime.Add(c.lasts-1)))
			must.Eq(t, quarantine.StateFree, replica.State(1, startTime.Add(c.lasts)))
		}
	}
	replica := quarantine.NewReplica()
	replica.Apply(convicted(2), startTime)
	replica.Apply(convicted(1), startTime)
	replica.Apply(suspects(3), startTime)
	must.Eq(t, []quarantine.Conviction{{Fingerprint: 1, Seconds: 3599}, {Fingerprint: 2, Seconds: 3599}},
		replica.Convictions(startTime.Add(time.Millisecond)).Convicted)
	must.SliceEmpty(t, replica.Convictions(startTime.Add(quarantine.ConvictionLifetime-time.Millisecond)).Convicted)
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
func (l listedMembers) Others() []chicoryhall.Member       { return l.others }
func (l listedMembers) Subscribe(func(chicoryhall.Member)) {}

func arbiterSeenBy(all []chicoryhall.Member, self int) chicoryhall.DaemonID {
	view := listedMembers{self: all[self]}
	view.others = append(view.others, all[:self]...)
	view.others = append(view.others, all[self+1:]...)
	return quarantine.ArbiterOf(view)
}

// testArbiter is an Arbiter with its own clock and with short forms of the queries.
type testArbiter struct {
	inner *quarantine.Arbiter
	now   time.Time
}

func newTestArbiter() *testArbiter {
	return &testArbiter{inner: quarantine.NewArbiter(), now: startTime}
}

// queryRun asks to run a suspect on an endpoint and reports crashed endpoints.
func (arbiter *testArbiter) queryRun(f quarantine.Fingerprint, request chicoryhall.RequestID, on chicoryhall.EndpointID, crashed ...chicoryhall.EndpointID) quarantine.Answer {
	answer, _ := arbiter.inner.Ask(quarantine.Query{
		Fingerprint: f, Request: request, Endpoints: []chicoryhall.EndpointID{on}, Crashed: crashed,
	}, arbiter.now)
	return answer
}

// report tells the arbiter that a suspect has passed or ended.
func (arbiter *testArbiter) report(kind quarantine.QueryKind, f quarantine.Fingerprint, request chicoryhall.RequestID) quarantine.Notice {
	_, notice := arbiter.inner.Ask(quarantine.Query{Kind: kind, Fingerprint: f, Request: request}, arbiter.now)
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
		arbiter := newTestArbiter()
		must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(1, "holder", "b", "a").Decision)
		arbiter.report(c.kind, 1, c.request)
		must.Eq(t, c.wanted, arbiter.queryRun(1, "next", "b").Decision, must.Sprint(c.kind, c.request))
	}
}

// TestHolderMayAskAgain checks that the holder can move its reservation to another endpoint.
func TestHolderMayAskAgain(t *testing.T) {
	arbiter := newTestArbiter()
	must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(1, "holder", "b", "a").Decision)
	must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(1, "holder", "c").Decision)
	must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(2, "other", "b", "x").Decision, must.Sprint("b is free again"))
	answer := arbiter.queryRun(3, "third", "c", "y")
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	must.Eq(t, []chicoryhall.EndpointID{"b", "c"}, answer.Busy)
}

// TestCrashExcusedWithinMassFailureWindow crashes an unrelated endpoint some time before the suspect's
// reserved one: only within massFailureWindow does it save the suspect from conviction.
func TestCrashExcusedWithinMassFailureWindow(t *testing.T) {
	for _, c := range []struct {
		before time.Duration
		wanted quarantine.Decision
	}{{0, quarantine.DecisionReserved}, {massFailureWindow, quarantine.DecisionReserved}, {massFailureWindow + 1, quarantine.DecisionRefuse}} {
		arbiter := newTestArbiter()
		must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(1, "holder", "b", "a").Decision)
		arbiter.now = arbiter.now.Add(time.Second)
		arbiter.queryRun(2, "other", "y", "x")
		arbiter.now = arbiter.now.Add(c.before)
		must.Eq(t, c.wanted, arbiter.queryRun(1, "holder", "c", "b").Decision, must.Sprint(c.before))
	}
}

// TestArbiterExpiry queries the arbiter right before and at the expiry of an attributed crash,
// of a suspect that no request runs, and of the reservation of a lost holder.
func TestArbiterExpiry(t *testing.T) {
	for _, c := range []struct {
		name    string
		lasts   time.Duration
		prepare func(*testArbiter)
		ask     func(*testArbiter) quarantine.Answer
		// before and after are the decisions right before and at the expiry.
		before, after quarantine.Decision
	}{
		{
			name: "attributed crash", lasts: attributionLifetime,
			prepare: func(arbiter *testArbiter) { arbiter.queryRun(1, "holder", "c", "b") },
			ask:     func(arbiter *testArbiter) quarantine.Answer { return arbiter.queryRun(2, "other", "d", "b") },
			before:  quarantine.DecisionFree, after: quarantine.DecisionReserved,
		},
		{
			name: "suspicion", lasts: suspicionLifetime,
			prepare: func(arbiter *testArbiter) { arbiter.report(quarantine.QueryEnded, 1, "holder") },
			ask:     func(arbiter *testArbiter) quarantine.Answer { return arbiter.queryRun(1, "next", "b") },
			before:  quarantine.DecisionReserved, after: quarantine.DecisionFree,
		},
		{
			name: "reservation", lasts: reservationLifetime,
			prepare: func(*testArbiter) {},
			ask:     func(arbiter *testArbiter) quarantine.Answer { return arbiter.queryRun(1, "next", "b") },
			before:  quarantine.DecisionWait, after: quarantine.DecisionReserved,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for later, wanted := range map[time.Duration]quarantine.Decision{c.lasts - 1: c.before, c.lasts: c.after} {
				arbiter := newTestArbiter()
				must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(1, "holder", "b", "a").Decision)
				c.prepare(arbiter)
				arbiter.now = arbiter.now.Add(later)
				must.Eq(t, wanted, c.ask(arbiter).Decision, must.Sprint(later))
			}
		})
	}
}

// TestEarliestExpiringSuspectIsEvicted adds one suspect more than are kept: the one that expires
// first is dropped, unless it holds a reservation.
func TestEarliestExpiringSuspectIsEvicted(t *testing.T) {
	const most = 8192
	arbiter := newTestArbiter()
	arbiter.queryRun(1, "holder", "b", "a")
	for i := range most - 1 {
		arbiter.now = arbiter.now.Add(time.Microsecond)
		arbiter.inner.Ask(quarantine.Query{Fingerprint: quarantine.Fingerprint(i + 2), Request: "r", Suspect: true}, arbiter.now)
		arbiter.report(quarantine.QueryEnded, quarantine.Fingerprint(i+2), "r")
	}
	arbiter.inner.Ask(quarantine.Query{Fingerprint: most + 1, Request: "r", Suspect: true}, arbiter.now)
	must.Eq(t, quarantine.DecisionWait, arbiter.queryRun(1, "next", "b").Decision, must.Sprint("a suspect with a reservation must be kept"))
	must.Eq(t, quarantine.DecisionFree, arbiter.queryRun(2, "next", "c").Decision, must.Sprint("the suspect that expires first must be dropped"))
	must.Eq(t, quarantine.DecisionReserved, arbiter.queryRun(3, "next", "c").Decision)
}

// TestNoticeEmpty checks Empty for a notice without changes and for each kind of change.
func TestNoticeEmpty(t *testing.T) {
	must.True(t, (&quarantine.Notice{}).Empty())
	endpoints, fingerprints := []chicoryhall.EndpointID{"a"}, []quarantine.Fingerprint{1}
	for _, notice := range []quarantine.Notice{
		{Suspects: fingerprints}, {Convicted: fingerprints}, {Cleared: fingerprints}, {Reserved: endpoints}, {Released: endpoints},
	} {
		must.False(t, notice.Empty())
	}
}
