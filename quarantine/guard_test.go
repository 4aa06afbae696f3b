package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// The lifetimes that callers and daemons see.
const (
	suspicionLasts   = 2 * time.Minute
	reservationLasts = 15 * time.Second
	explainedLasts   = 10 * time.Second
	massWindow       = 500 * time.Millisecond
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

// TestStandings plays notices to a guard and looks at a fingerprint some time later.
func TestStandings(t *testing.T) {
	for _, c := range []struct {
		name    string
		notices []quarantine.Notice
		later   time.Duration
		wanted  quarantine.Standing
	}{
		{name: "unknown", wanted: quarantine.StandingFree},
		{name: "suspected", notices: []quarantine.Notice{suspects(1)}, wanted: quarantine.StandingSuspect},
		{name: "suspected for long", notices: []quarantine.Notice{suspects(1)}, later: suspicionLasts - 1, wanted: quarantine.StandingSuspect},
		{name: "suspicion has ended", notices: []quarantine.Notice{suspects(1)}, later: suspicionLasts, wanted: quarantine.StandingFree},
		{name: "cleared", notices: []quarantine.Notice{suspects(1), cleared(1)}, wanted: quarantine.StandingFree},
		{name: "another one cleared", notices: []quarantine.Notice{suspects(1), cleared(2)}, wanted: quarantine.StandingSuspect},
		{name: "convicted", notices: []quarantine.Notice{suspects(1), convicted(1)}, wanted: quarantine.StandingConvicted},
		{name: "convicted, cleared late", notices: []quarantine.Notice{convicted(1), cleared(1)}, wanted: quarantine.StandingConvicted},
		{name: "convicted, suspected late", notices: []quarantine.Notice{convicted(1), suspects(1)}, wanted: quarantine.StandingConvicted},
		{name: "convicted for long", notices: []quarantine.Notice{convicted(1)}, later: quarantine.ConvictionLifetime - 1, wanted: quarantine.StandingConvicted},
		{name: "conviction has ended", notices: []quarantine.Notice{convicted(1)}, later: quarantine.ConvictionLifetime, wanted: quarantine.StandingFree},
	} {
		t.Run(c.name, func(t *testing.T) {
			guard := quarantine.NewGuard()
			for _, notice := range c.notices {
				guard.Apply(notice, begin)
			}
			must.Eq(t, c.wanted, guard.Standing(1, begin.Add(c.later)))
		})
	}
}

// TestConvictionIsNotProlonged repeats the notice of a conviction shortly before its end.
func TestConvictionIsNotProlonged(t *testing.T) {
	guard := quarantine.NewGuard()
	guard.Apply(convicted(1), begin)
	guard.Apply(convicted(1), begin.Add(quarantine.ConvictionLifetime-1))
	must.Eq(t, quarantine.StandingFree, guard.Standing(1, begin.Add(quarantine.ConvictionLifetime)))
}

// TestDecisionsAreTakenOver lets a guard hear each decision on a suspect of its own.
func TestDecisionsAreTakenOver(t *testing.T) {
	for _, c := range []struct {
		decision quarantine.Decision
		wanted   quarantine.Standing
	}{
		{quarantine.DecisionFree, quarantine.StandingFree},
		{quarantine.DecisionRefuse, quarantine.StandingConvicted},
		{quarantine.DecisionReserved, quarantine.StandingSuspect},
		{quarantine.DecisionWait, quarantine.StandingSuspect},
	} {
		guard := quarantine.NewGuard()
		guard.Suspect(1, nil, begin)
		guard.Answered(1, c.decision, begin)
		must.Eq(t, c.wanted, guard.Standing(1, begin), must.Sprint(c.decision))
	}
}

// TestCrashesAreToldOnce takes crashes out for the arbiter, and forgets those of what is free.
func TestCrashesAreToldOnce(t *testing.T) {
	guard := quarantine.NewGuard()
	guard.Suspect(1, []chicoryhall.EndpointID{"a", "b"}, begin)
	guard.Suspect(1, []chicoryhall.EndpointID{"b", "c"}, begin)
	guard.Suspect(2, []chicoryhall.EndpointID{"d"}, begin)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b", "c"}, guard.TakeCrashed(1))
	must.SliceEmpty(t, guard.TakeCrashed(1))
	guard.Apply(cleared(2), begin)
	guard.Apply(quarantine.Notice{}, begin)
	must.SliceEmpty(t, guard.TakeCrashed(2))
}

// TestReservedEnginesAreAvoided looks at an engine from its reservation to its release or its end.
func TestReservedEnginesAreAvoided(t *testing.T) {
	guard := quarantine.NewGuard()
	must.SliceEmpty(t, guard.Avoid(begin))
	guard.Apply(quarantine.Notice{Reserved: []chicoryhall.EndpointID{"b", "a"}}, begin)
	must.Eq(t, []chicoryhall.EndpointID{"a", "b"}, guard.Avoid(begin.Add(reservationLasts-1)))
	guard.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}}, begin)
	must.Eq(t, []chicoryhall.EndpointID{"b"}, guard.Avoid(begin))
	must.SliceEmpty(t, guard.Avoid(begin.Add(reservationLasts)))
	guard.Apply(quarantine.Notice{Released: []chicoryhall.EndpointID{"a"}, Reserved: []chicoryhall.EndpointID{"a"}}, begin)
	must.Eq(t, []chicoryhall.EndpointID{"a"}, guard.Avoid(begin), must.Sprint("released and reserved again in one notice"))
}

// TestCountsOfAGuard counts what has not ended.
func TestCountsOfAGuard(t *testing.T) {
	guard := quarantine.NewGuard()
	guard.Apply(quarantine.Notice{
		Suspects: []quarantine.Fingerprint{1, 2}, Convicted: []quarantine.Fingerprint{3},
		Reserved: []chicoryhall.EndpointID{"a", "b", "c", "d"},
	}, begin)
	for _, c := range []struct {
		later                         time.Duration
		suspects, convicted, reserved int
	}{{0, 2, 1, 4}, {reservationLasts, 2, 1, 0}, {suspicionLasts, 0, 1, 0}, {quarantine.ConvictionLifetime, 0, 0, 0}} {
		suspected, refused, reserved := guard.Counts(begin.Add(c.later))
		must.Eq(t, []int{c.suspects, c.convicted, c.reserved}, []int{suspected, refused, reserved}, must.Sprint(c.later))
	}
}

// TestLearnsConvictionsThatLast takes over the time that is left, at most a whole lifetime.
func TestLearnsConvictionsThatLast(t *testing.T) {
	for _, c := range []struct {
		seconds int64
		lasts   time.Duration
	}{{0, 0}, {-1, 0}, {7, 7 * time.Second}, {1 << 20, quarantine.ConvictionLifetime}} {
		guard := quarantine.NewGuard()
		guard.Learn(quarantine.Convictions{Refused: []quarantine.Conviction{{Fingerprint: 1, Seconds: c.seconds}}}, begin)
		must.Eq(t, c.lasts > 0, guard.Standing(1, begin) == quarantine.StandingConvicted)
		if c.lasts > 0 {
			must.Eq(t, quarantine.StandingConvicted, guard.Standing(1, begin.Add(c.lasts-1)))
			must.Eq(t, quarantine.StandingFree, guard.Standing(1, begin.Add(c.lasts)))
		}
	}
	guard := quarantine.NewGuard()
	guard.Apply(convicted(2), begin)
	guard.Apply(convicted(1), begin)
	guard.Apply(suspects(3), begin)
	must.Eq(t, []quarantine.Conviction{{Fingerprint: 1, Seconds: 3599}, {Fingerprint: 2, Seconds: 3599}},
		guard.Convicted(begin.Add(time.Millisecond)).Refused)
	must.SliceEmpty(t, guard.Convicted(begin.Add(quarantine.ConvictionLifetime-time.Millisecond)).Refused)
}

// TestArbiterOfMembers picks the same daemon wherever the same members are seen alive.
func TestArbiterOfMembers(t *testing.T) {
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
			must.NotEq(t, chosen, arbiterSeenBy(all, self), must.Sprint("the dead one decides nothing"))
		}
	}
}

// listedMembers is one daemon's view of all.
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

// desk asks an arbiter in the words of one test.
type desk struct {
	arbiter *quarantine.Arbiter
	now     time.Time
}

func newDesk() *desk { return &desk{arbiter: quarantine.NewArbiter(), now: begin} }

// run asks to run a suspect on an engine and tells of crashes.
func (d *desk) run(f quarantine.Fingerprint, request chicoryhall.RequestID, on chicoryhall.EndpointID, crashed ...chicoryhall.EndpointID) quarantine.Answer {
	answer, _ := d.arbiter.Ask(quarantine.Ask{
		Fingerprint: f, Request: request, Engines: []chicoryhall.EndpointID{on}, Crashed: crashed,
	}, d.now)
	return answer
}

// tell reports how a suspect's run went.
func (d *desk) tell(kind quarantine.AskKind, f quarantine.Fingerprint, request chicoryhall.RequestID) quarantine.Notice {
	_, notice := d.arbiter.Ask(quarantine.Ask{Kind: kind, Fingerprint: f, Request: request}, d.now)
	return notice
}

// TestReportsCountFromTheHolderAlone lets another request with the same fingerprint report.
func TestReportsCountFromTheHolderAlone(t *testing.T) {
	for _, c := range []struct {
		kind    quarantine.AskKind
		request chicoryhall.RequestID
		wanted  quarantine.Decision
	}{
		{quarantine.AskPassed, "holder", quarantine.DecisionFree},
		{quarantine.AskPassed, "other", quarantine.DecisionWait},
		{quarantine.AskEnded, "holder", quarantine.DecisionReserved},
		{quarantine.AskEnded, "other", quarantine.DecisionWait},
	} {
		d := newDesk()
		must.Eq(t, quarantine.DecisionReserved, d.run(1, "holder", "b", "a").Decision)
		d.tell(c.kind, 1, c.request)
		must.Eq(t, c.wanted, d.run(1, "next", "b").Decision, must.Sprint(c.kind, c.request))
	}
}

// TestHolderMayAskAgain moves a reservation to another engine.
func TestHolderMayAskAgain(t *testing.T) {
	d := newDesk()
	must.Eq(t, quarantine.DecisionReserved, d.run(1, "holder", "b", "a").Decision)
	must.Eq(t, quarantine.DecisionReserved, d.run(1, "holder", "c").Decision)
	must.Eq(t, quarantine.DecisionReserved, d.run(2, "other", "b", "x").Decision, must.Sprint("b is free again"))
	answer := d.run(3, "third", "c", "y")
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	must.Eq(t, []chicoryhall.EndpointID{"b", "c"}, answer.Busy)
}

// TestDoubtLooksAtTheLastMoments crashes another engine some time before the suspect's second one.
func TestDoubtLooksAtTheLastMoments(t *testing.T) {
	for _, c := range []struct {
		before time.Duration
		wanted quarantine.Decision
	}{{0, quarantine.DecisionReserved}, {massWindow, quarantine.DecisionReserved}, {massWindow + 1, quarantine.DecisionRefuse}} {
		d := newDesk()
		must.Eq(t, quarantine.DecisionReserved, d.run(1, "holder", "b", "a").Decision)
		d.now = d.now.Add(time.Second)
		d.run(2, "other", "y", "x")
		d.now = d.now.Add(c.before)
		must.Eq(t, c.wanted, d.run(1, "holder", "c", "b").Decision, must.Sprint(c.before))
	}
}

// TestArbiterForgetsInTime asks the arbiter right before and at the end of what it remembers: a crash
// that is explained, a suspicion that nobody runs, the reservation of a lost holder.
func TestArbiterForgetsInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		lasts   time.Duration
		prepare func(*desk)
		ask     func(*desk) quarantine.Answer
		// before and after are the decisions on both sides of the end.
		before, after quarantine.Decision
	}{
		{
			name: "explained crash", lasts: explainedLasts,
			prepare: func(d *desk) { d.run(1, "holder", "c", "b") },
			ask:     func(d *desk) quarantine.Answer { return d.run(2, "other", "d", "b") },
			before:  quarantine.DecisionFree, after: quarantine.DecisionReserved,
		},
		{
			name: "suspicion", lasts: suspicionLasts,
			prepare: func(d *desk) { d.tell(quarantine.AskEnded, 1, "holder") },
			ask:     func(d *desk) quarantine.Answer { return d.run(1, "next", "b") },
			before:  quarantine.DecisionReserved, after: quarantine.DecisionFree,
		},
		{
			name: "reservation", lasts: reservationLasts,
			prepare: func(*desk) {},
			ask:     func(d *desk) quarantine.Answer { return d.run(1, "next", "b") },
			before:  quarantine.DecisionWait, after: quarantine.DecisionReserved,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for later, wanted := range map[time.Duration]quarantine.Decision{c.lasts - 1: c.before, c.lasts: c.after} {
				d := newDesk()
				must.Eq(t, quarantine.DecisionReserved, d.run(1, "holder", "b", "a").Decision)
				c.prepare(d)
				d.now = d.now.Add(later)
				must.Eq(t, wanted, c.ask(d).Decision, must.Sprint(later))
			}
		})
	}
}

// TestOldSuspicionsMakeRoom suspects one more than are kept: the one that ends first is dropped, but
// none that runs.
func TestOldSuspicionsMakeRoom(t *testing.T) {
	const most = 8192
	d := newDesk()
	d.run(1, "holder", "b", "a")
	for i := range most - 1 {
		d.now = d.now.Add(time.Microsecond)
		d.arbiter.Ask(quarantine.Ask{Fingerprint: quarantine.Fingerprint(i + 2), Request: "r", Suspect: true}, d.now)
		d.tell(quarantine.AskEnded, quarantine.Fingerprint(i+2), "r")
	}
	d.arbiter.Ask(quarantine.Ask{Fingerprint: most + 1, Request: "r", Suspect: true}, d.now)
	must.Eq(t, quarantine.DecisionWait, d.run(1, "next", "b").Decision, must.Sprint("the one that runs is kept"))
	must.Eq(t, quarantine.DecisionFree, d.run(2, "next", "c").Decision, must.Sprint("the oldest is dropped"))
	must.Eq(t, quarantine.DecisionReserved, d.run(3, "next", "c").Decision)
}

// TestEmptyNotices tells a notice with one change from one without.
func TestEmptyNotices(t *testing.T) {
	must.True(t, (&quarantine.Notice{}).Empty())
	engines, fingerprints := []chicoryhall.EndpointID{"a"}, []quarantine.Fingerprint{1}
	for _, notice := range []quarantine.Notice{
		{Suspects: fingerprints}, {Convicted: fingerprints}, {Cleared: fingerprints}, {Reserved: engines}, {Released: engines},
	} {
		must.False(t, notice.Empty())
	}
}
