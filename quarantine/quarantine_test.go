package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

var begin = time.Unix(1_000_000, 0)

// poison is the fingerprint whose requests crash endpoints.
const poison quarantine.Fingerprint = 666

// run is one request at one daemon.
type run struct {
	id          chicoryhall.RequestID
	fingerprint quarantine.Fingerprint
	daemon      int
	// engine is where it runs, or empty.
	engine   chicoryhall.EndpointID
	reserved bool
	finished bool
	refused  bool
}

// world is daemons with their guards, one arbiter, and engines that are replaced when they crash.
type world struct {
	now     time.Time
	arbiter *quarantine.Arbiter
	guards  []*quarantine.Guard
	// notices are those that a daemon has not heard yet.
	notices [][]quarantine.Notice
	delayed bool
	engines []chicoryhall.EndpointID
	made    int
	runs    []*run
	// crashes counts the engines that the poison cost, free the runs of it without a reservation.
	crashes int
	free    int
}

func newWorld(daemons, engines int, delayed bool) *world {
	w := &world{now: begin, arbiter: quarantine.NewArbiter(), delayed: delayed, notices: make([][]quarantine.Notice, daemons)}
	for range daemons {
		w.guards = append(w.guards, quarantine.NewGuard())
	}
	for range engines {
		w.engines = append(w.engines, w.newEngine())
	}
	return w
}

func (w *world) newEngine() chicoryhall.EndpointID {
	w.made++
	return chicoryhall.EndpointID(fmt.Sprintf("e%03d", w.made))
}

func (w *world) submit(fingerprint quarantine.Fingerprint, daemon int) {
	id := chicoryhall.RequestID(fmt.Sprintf("r%d", len(w.runs)))
	w.runs = append(w.runs, &run{id: id, fingerprint: fingerprint, daemon: daemon})
}

// ask asks the arbiter and spreads its notice.
func (w *world) ask(r *run, ask quarantine.Ask) quarantine.Answer {
	ask.Fingerprint, ask.Request = r.fingerprint, r.id
	answer, notice := w.arbiter.Ask(ask, w.now)
	for i := range w.guards {
		w.notices[i] = append(w.notices[i], notice)
		if !w.delayed {
			w.hear(i)
		}
	}
	if ask.Kind == quarantine.AskRun {
		w.guards[r.daemon].Answered(r.fingerprint, answer.Decision, w.now)
	}
	return answer
}

func (w *world) hear(daemon int) {
	for _, notice := range w.notices[daemon] {
		w.guards[daemon].Apply(notice, w.now)
	}
	w.notices[daemon] = nil
}

// place tries to start a request on an engine.
func (w *world) place(r *run, engine chicoryhall.EndpointID) {
	guard := w.guards[r.daemon]
	standing := guard.Standing(r.fingerprint, w.now)
	switch {
	case standing == quarantine.StandingConvicted:
		r.finished, r.refused = true, true
		return
	case standing == quarantine.StandingFree:
		if slices.Contains(guard.Avoid(w.now), engine) {
			return
		}
		w.start(r, engine, false)
		return
	}
	crashed := guard.TakeCrashed(r.fingerprint)
	ask := quarantine.Ask{Engines: []chicoryhall.EndpointID{engine}, Crashed: crashed, Suspect: len(crashed) == 0}
	switch w.ask(r, ask).Decision {
	case quarantine.DecisionFree:
		w.start(r, engine, false)
	case quarantine.DecisionReserved:
		w.start(r, engine, true)
	case quarantine.DecisionRefuse:
		r.finished, r.refused = true, true
	case quarantine.DecisionWait:
	}
}

func (w *world) start(r *run, engine chicoryhall.EndpointID, reserved bool) {
	r.engine, r.reserved = engine, reserved
	if r.fingerprint == poison && !reserved {
		w.free++
	}
}

// step lets a running request crash its engine, or pass and finish.
func (w *world) step(r *run) {
	if r.fingerprint == poison {
		w.crash(r.engine)
		return
	}
	if r.reserved {
		w.ask(r, quarantine.Ask{Kind: quarantine.AskPassed})
	}
	r.engine, r.finished = "", true
}

func (w *world) crash(engine chicoryhall.EndpointID) {
	w.crashes++
	w.engines[slices.Index(w.engines, engine)] = w.newEngine()
	for _, other := range w.runs {
		if other.engine == engine {
			other.engine, other.reserved = "", false
			w.guards[other.daemon].Suspect(other.fingerprint, []chicoryhall.EndpointID{engine}, w.now)
		}
	}
}

// where returns the runs that wait, or that run.
func (w *world) where(running bool) []*run {
	var found []*run
	for _, r := range w.runs {
		if !r.finished && (r.engine != "") == running {
			found = append(found, r)
		}
	}
	return found
}

// mustBeApart fails when two suspects share an engine, or one suspicion runs twice.
func (w *world) mustBeApart(t *rapid.T) {
	engines := make(map[chicoryhall.EndpointID]bool)
	fingerprints := make(map[quarantine.Fingerprint]bool)
	for _, r := range w.where(true) {
		if !r.reserved {
			continue
		}
		must.False(t, engines[r.engine], must.Sprint("two suspects on one engine"))
		must.False(t, fingerprints[r.fingerprint], must.Sprint("one suspicion at two places"))
		engines[r.engine], fingerprints[r.fingerprint] = true, true
	}
}

// actions are the random steps of the tests; single keeps the poison to one copy at a time.
func (w *world) actions(single bool) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"innocent": func(t *rapid.T) {
			fingerprint := quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "fingerprint"))
			w.submit(fingerprint, rapid.IntRange(0, len(w.guards)-1).Draw(t, "daemon"))
		},
		"poison": func(t *rapid.T) {
			if single && slices.ContainsFunc(w.runs, func(r *run) bool { return r.fingerprint == poison && !r.finished }) {
				t.Skip("a copy is in progress")
			}
			w.submit(poison, rapid.IntRange(0, len(w.guards)-1).Draw(t, "daemon"))
		},
		"place": func(t *rapid.T) {
			if waiting := w.where(false); len(waiting) > 0 {
				w.place(rapid.SampledFrom(waiting).Draw(t, "run"), rapid.SampledFrom(w.engines).Draw(t, "engine"))
			}
		},
		"step": func(t *rapid.T) {
			if running := w.where(true); len(running) > 0 {
				w.step(rapid.SampledFrom(running).Draw(t, "run"))
			}
		},
		"hear": func(t *rapid.T) { w.hear(rapid.IntRange(0, len(w.guards)-1).Draw(t, "daemon")) },
		"":     w.mustBeApart,
	}
}

// finish lets everything end, and fails unless all innocents have finished.
func (w *world) finish(t *rapid.T) {
	for range 200 {
		for i, r := range w.where(false) {
			w.place(r, w.engines[i%len(w.engines)])
		}
		for _, r := range w.where(true) {
			if r.engine != "" {
				w.step(r)
			}
		}
		w.now = w.now.Add(50 * time.Millisecond)
		for i := range w.guards {
			w.hear(i)
		}
	}
	for _, r := range w.runs {
		must.True(t, r.finished, must.Sprintf("request %s of %d never ended", r.id, r.fingerprint))
		if r.fingerprint != poison {
			must.False(t, r.refused, must.Sprintf("innocent request %s was refused", r.id))
		}
	}
}

// maxLostToOne is the most engines that one request costs however often its caller repeats it.
const maxLostToOne = 2

// TestOneRequestCostsTwoEngines repeats the request at one to six daemons, one copy after another.
// Mutations that it catches: not convicting in verdict; letting suspects share an engine.
func TestOneRequestCostsTwoEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(3, 8).Draw(t, "engines"), false)
		t.Repeat(w.actions(true))
		w.finish(t)
		must.LessEq(t, maxLostToOne, w.crashes)
	})
}

// TestConcurrentCopies submits copies at several daemons at once with late notices: each copy that
// runs before its daemon hears of the suspicion may cost an engine, one more is lost to the
// reservation, and another where the reports of the copies' crashes cross. Mutation that it
// catches: letting a suspicion run at two places.
func TestConcurrentCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(4, 8).Draw(t, "engines"), true)
		t.Repeat(w.actions(false))
		w.finishPoison(t)
		must.LessEq(t, w.free+2, w.crashes)
	})
}

// finishPoison lets everything end; with late notices an innocent on a reserved engine may be hit.
func (w *world) finishPoison(t *rapid.T) {
	for range 200 {
		for i, r := range w.where(false) {
			w.place(r, w.engines[i%len(w.engines)])
		}
		for _, r := range w.where(true) {
			if r.engine != "" {
				w.step(r)
			}
		}
		w.now = w.now.Add(50 * time.Millisecond)
		for i := range w.guards {
			w.hear(i)
		}
		w.mustBeApart(t)
	}
	must.Eq(t, 0, len(w.where(false))+len(w.where(true)))
}

// TestManyFailuresConvictNobody loses three engines at once, as a rack does. Mutation that it
// catches: leaving out othersFail.
func TestManyFailuresConvictNobody(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	ask := func(f quarantine.Fingerprint, crashed chicoryhall.EndpointID, engine chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Ask{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)), Crashed: []chicoryhall.EndpointID{crashed},
			Engines: []chicoryhall.EndpointID{engine},
		}, begin)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e1", "e4"))
	must.Eq(t, quarantine.DecisionReserved, ask(2, "e2", "e5"))
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e4", "e6"))
	must.Eq(t, quarantine.DecisionRefuse, ask(1, "e6", "e7"), must.Sprint("a second doubt"))
}

// TestInnocentsOfAnExplainedCrash report the crash of a reserved engine before its suspect does.
// Mutation that it catches: leaving out explained in crashed.
func TestInnocentsOfAnExplainedCrash(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	report := func(f quarantine.Fingerprint, crashed, engine chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Ask{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)),
			Crashed: []chicoryhall.EndpointID{crashed}, Engines: []chicoryhall.EndpointID{engine},
		}, begin)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, report(poison, "e1", "e2"))
	must.Eq(t, quarantine.DecisionFree, report(2, "e2", "e3"))
	must.Eq(t, quarantine.DecisionFree, report(3, "e2", "e3"))
	must.Eq(t, quarantine.DecisionRefuse, report(poison, "e2", "e3"))
}

// TestLostHolderGivesItsReservationBack lets the daemon of a suspect die. Mutation that it
// catches: leaving out reservedUntil in expire.
func TestLostHolderGivesItsReservationBack(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	engines := []chicoryhall.EndpointID{"e2"}
	answer, _ := arbiter.Ask(quarantine.Ask{Fingerprint: 1, Request: "a", Crashed: []chicoryhall.EndpointID{"e1"}, Engines: engines}, begin)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	repeat := quarantine.Ask{Fingerprint: 1, Request: "b", Engines: engines}
	answer, _ = arbiter.Ask(repeat, begin.Add(time.Second))
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	answer, _ = arbiter.Ask(repeat, begin.Add(20*time.Second))
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
}

// TestNewArbiterLearnsOfSuspects lets the arbiter change between the crash and the next attempt.
// Mutation that it catches: ignoring Ask.Suspect.
func TestNewArbiterLearnsOfSuspects(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	engines := []chicoryhall.EndpointID{"e2"}
	answer, notice := arbiter.Ask(quarantine.Ask{Fingerprint: 1, Request: "a", Suspect: true, Engines: engines}, begin)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	must.Eq(t, []quarantine.Fingerprint{1}, notice.Suspects)
	answer, _ = arbiter.Ask(quarantine.Ask{Fingerprint: 1, Request: "a", Crashed: engines}, begin)
	must.Eq(t, quarantine.DecisionRefuse, answer.Decision)
}

// TestConvictionsEnd hands a conviction to and fro between two daemons. Mutation that it catches:
// giving a learned conviction its full lifetime.
func TestConvictionsEnd(t *testing.T) {
	a, b := quarantine.NewGuard(), quarantine.NewGuard()
	a.Apply(quarantine.Notice{Convicted: []quarantine.Fingerprint{poison}}, begin)
	now := begin
	for range 2 * quarantine.ConvictionLifetime / quarantine.LearnPeriod {
		b.Learn(a.Convicted(now), now)
		a.Learn(b.Convicted(now), now)
		if now == begin {
			must.Eq(t, quarantine.StandingConvicted, b.Standing(poison, now))
		}
		now = now.Add(quarantine.LearnPeriod)
	}
	must.Eq(t, quarantine.StandingFree, a.Standing(poison, now))
	must.Eq(t, quarantine.StandingFree, b.Standing(poison, now))
}

// BenchmarkAsk is the cost of one suspect's reservation and release among the given number of
// suspicions.
func BenchmarkAsk(b *testing.B) {
	for _, others := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", others), func(b *testing.B) {
			arbiter := quarantine.NewArbiter()
			for i := range others {
				arbiter.Ask(quarantine.Ask{Fingerprint: quarantine.Fingerprint(i + 10), Suspect: true}, begin)
			}
			b.ReportAllocs()
			for b.Loop() {
				arbiter.Ask(quarantine.Ask{Fingerprint: 1, Request: "a", Suspect: true, Engines: []chicoryhall.EndpointID{"e1"}}, begin)
				arbiter.Ask(quarantine.Ask{Fingerprint: 1, Request: "a", Kind: quarantine.AskPassed}, begin)
			}
		})
	}
}
