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

var startTime = time.Unix(1_000_000, 0)

// poison is the fingerprint whose requests crash every endpoint they run on.
const poison quarantine.Fingerprint = 666

// run is one request submitted to one daemon.
type run struct {
	id          chicoryhall.RequestID
	fingerprint quarantine.Fingerprint
	daemon      int
	// engine is the engine that runs the request, or empty while it waits.
	engine   chicoryhall.EndpointID
	reserved bool
	finished bool
	refused  bool
}

// simulation simulates daemons with their guards, one arbiter, and engines that are replaced when they crash.
type simulation struct {
	now     time.Time
	arbiter *quarantine.Arbiter
	guards  []*quarantine.Replica
	// notices holds the undelivered notices of each daemon; delayed keeps them until deliver is called.
	notices [][]quarantine.Notice
	delayed bool
	engines []chicoryhall.EndpointID
	// enginesCreated counts the engines created so far.
	enginesCreated int
	runs           []*run
	// crashes counts the engines that poison requests crashed, and unreserved counts the poison requests
	// that ran without a reservation.
	crashes    int
	unreserved int
}

func newSimulation(daemons, engines int, delayed bool) *simulation {
	s := &simulation{now: startTime, arbiter: quarantine.NewArbiter(), delayed: delayed, notices: make([][]quarantine.Notice, daemons)}
	for range daemons {
		s.guards = append(s.guards, quarantine.NewReplica())
	}
	for range engines {
		s.engines = append(s.engines, s.newEngine())
	}
	return s
}

func (s *simulation) newEngine() chicoryhall.EndpointID {
	s.enginesCreated++
	return chicoryhall.EndpointID(fmt.Sprintf("e%03d", s.enginesCreated))
}

func (s *simulation) submit(fingerprint quarantine.Fingerprint, daemon int) {
	id := chicoryhall.RequestID(fmt.Sprintf("r%d", len(s.runs)))
	s.runs = append(s.runs, &run{id: id, fingerprint: fingerprint, daemon: daemon})
}

// ask queries the arbiter and queues its notice for every daemon.
func (s *simulation) ask(r *run, query quarantine.Query) quarantine.Answer {
	query.Fingerprint, query.Request = r.fingerprint, r.id
	answer, notice := s.arbiter.Ask(query, s.now)
	for i := range s.guards {
		s.notices[i] = append(s.notices[i], notice)
		if !s.delayed {
			s.deliver(i)
		}
	}
	if query.Kind == quarantine.QueryRun {
		s.guards[r.daemon].ApplyDecision(r.fingerprint, answer.Decision, s.now)
	}
	return answer
}

// deliver delivers a daemon's pending notices.
func (s *simulation) deliver(daemon int) {
	for _, notice := range s.notices[daemon] {
		s.guards[daemon].Apply(notice, s.now)
	}
	s.notices[daemon] = nil
}

// place tries to start a request on an engine.
func (s *simulation) place(r *run, engine chicoryhall.EndpointID) {
	guard := s.guards[r.daemon]
	state := guard.State(r.fingerprint, s.now)
	switch {
	case state == quarantine.StateConvicted:
		r.finished, r.refused = true, true
		return
	case state == quarantine.StateFree:
		if slices.Contains(guard.ReservedEndpoints(s.now), engine) {
			return
		}
		s.start(r, engine, false)
		return
	}
	crashed := guard.TakeCrashed(r.fingerprint)
	query := quarantine.Query{Endpoints: []chicoryhall.EndpointID{engine}, Crashed: crashed, Suspect: len(crashed) == 0}
	switch s.ask(r, query).Decision {
	case quarantine.DecisionFree:
		s.start(r, engine, false)
	case quarantine.DecisionReserved:
		s.start(r, engine, true)
	case quarantine.DecisionRefuse:
		r.finished, r.refused = true, true
	case quarantine.DecisionWait:
	}
}

func (s *simulation) start(r *run, engine chicoryhall.EndpointID, reserved bool) {
	r.engine, r.reserved = engine, reserved
	if r.fingerprint == poison && !reserved {
		s.unreserved++
	}
}

// step ends a running request: a poison request crashes its engine, any other passes and finishes.
func (s *simulation) step(r *run) {
	if r.fingerprint == poison {
		s.crash(r.engine)
		return
	}
	if r.reserved {
		s.ask(r, quarantine.Query{Kind: quarantine.QueryPassed})
	}
	r.engine, r.finished = "", true
}

// crash replaces an engine and makes every request that ran on it a suspect.
func (s *simulation) crash(engine chicoryhall.EndpointID) {
	s.crashes++
	s.engines[slices.Index(s.engines, engine)] = s.newEngine()
	for _, other := range s.runs {
		if other.engine == engine {
			other.engine, other.reserved = "", false
			s.guards[other.daemon].MarkSuspect(other.fingerprint, []chicoryhall.EndpointID{engine}, s.now)
		}
	}
}

// unfinished returns the unfinished requests that are running or, if running is false, waiting.
func (s *simulation) unfinished(running bool) []*run {
	var found []*run
	for _, r := range s.runs {
		if !r.finished && (r.engine != "") == running {
			found = append(found, r)
		}
	}
	return found
}

// mustBeIsolated fails if two suspects share an engine or two requests with the same suspect
// fingerprint run at the same time.
func (s *simulation) mustBeIsolated(t *rapid.T) {
	engines := make(map[chicoryhall.EndpointID]bool)
	fingerprints := make(map[quarantine.Fingerprint]bool)
	for _, r := range s.unfinished(true) {
		if !r.reserved {
			continue
		}
		must.False(t, engines[r.engine], must.Sprint("two suspects run on one engine"))
		must.False(t, fingerprints[r.fingerprint], must.Sprint("two requests with the same suspect fingerprint run at once"))
		engines[r.engine], fingerprints[r.fingerprint] = true, true
	}
}

// actions returns the random steps of the property tests; single allows only one unfinished poison
// request at a time.
func (s *simulation) actions(single bool) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"innocent": func(t *rapid.T) {
			fingerprint := quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "fingerprint"))
			s.submit(fingerprint, rapid.IntRange(0, len(s.guards)-1).Draw(t, "daemon"))
		},
		"poison": func(t *rapid.T) {
			if single && slices.ContainsFunc(s.runs, func(r *run) bool { return r.fingerprint == poison && !r.finished }) {
				t.Skip("a poison request is in progress")
			}
			s.submit(poison, rapid.IntRange(0, len(s.guards)-1).Draw(t, "daemon"))
		},
		"place": func(t *rapid.T) {
			if waiting := s.unfinished(false); len(waiting) > 0 {
				s.place(rapid.SampledFrom(waiting).Draw(t, "run"), rapid.SampledFrom(s.engines).Draw(t, "engine"))
			}
		},
		"step": func(t *rapid.T) {
			if running := s.unfinished(true); len(running) > 0 {
				s.step(rapid.SampledFrom(running).Draw(t, "run"))
			}
		},
		"hear": func(t *rapid.T) { s.deliver(rapid.IntRange(0, len(s.guards)-1).Draw(t, "daemon")) },
		"":     s.mustBeIsolated,
	}
}

// finish runs all requests to their end. It fails unless every request ended and only poison
// requests were refused.
func (s *simulation) finish(t *rapid.T) {
	for range 200 {
		for i, r := range s.unfinished(false) {
			s.place(r, s.engines[i%len(s.engines)])
		}
		for _, r := range s.unfinished(true) {
			if r.engine != "" {
				s.step(r)
			}
		}
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.guards {
			s.deliver(i)
		}
	}
	for _, r := range s.runs {
		must.True(t, r.finished, must.Sprintf("request %s of %d never ended", r.id, r.fingerprint))
		if r.fingerprint != poison {
			must.False(t, r.refused, must.Sprintf("innocent request %s was refused", r.id))
		}
	}
}

// maxCrashesPerFingerprint is the largest number of engines that one fingerprint may crash, however
// often its caller repeats the request.
const maxCrashesPerFingerprint = 2

// TestOneRequestCrashesAtMostTwoEngines repeats the poison request at one to six daemons, one copy
// after another. It fails if attributeCrash does not convict or if suspects may share an engine.
func TestOneRequestCrashesAtMostTwoEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(3, 8).Draw(t, "engines"), false)
		t.Repeat(s.actions(true))
		s.finish(t)
		must.LessEq(t, maxCrashesPerFingerprint, s.crashes)
	})
}

// TestConcurrentCopies submits copies of the poison request to several daemons at once and delays
// the notices. Each copy that starts before its daemon learns that the fingerprint is suspect may
// crash an engine; one more engine may crash under the reservation, and another when the reports of
// the copies' crashes overlap. It fails if two requests of one suspect fingerprint may run at once.
func TestConcurrentCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(4, 8).Draw(t, "engines"), true)
		t.Repeat(s.actions(false))
		s.finishWithDelays(t)
		must.LessEq(t, s.unreserved+2, s.crashes)
	})
}

// finishWithDelays runs all requests to their end. Other than in finish, requests other than poison may
// be refused: because of late notices they may run on a reserved engine.
func (s *simulation) finishWithDelays(t *rapid.T) {
	for range 200 {
		for i, r := range s.unfinished(false) {
			s.place(r, s.engines[i%len(s.engines)])
		}
		for _, r := range s.unfinished(true) {
			if r.engine != "" {
				s.step(r)
			}
		}
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.guards {
			s.deliver(i)
		}
		s.mustBeIsolated(t)
	}
	must.Eq(t, 0, len(s.unfinished(false))+len(s.unfinished(true)))
}

// TestManyFailuresConvictNobody crashes three engines at once, as the failure of a rack does. It
// fails if attributeCrash does not check unrelatedCrash.
func TestManyFailuresConvictNobody(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	ask := func(f quarantine.Fingerprint, crashed chicoryhall.EndpointID, engine chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Query{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)), Crashed: []chicoryhall.EndpointID{crashed},
			Endpoints: []chicoryhall.EndpointID{engine},
		}, startTime)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e1", "e4"))
	must.Eq(t, quarantine.DecisionReserved, ask(2, "e2", "e5"))
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e4", "e6"))
	must.Eq(t, quarantine.DecisionRefuse, ask(1, "e6", "e7"), must.Sprint("only one crash may be excused"))
}

// TestReportsOfAttributedCrash lets other requests report the crash of a reserved engine before
// the suspect does: only the suspect is refused. It fails if reportCrash ignores attributed.
func TestReportsOfAttributedCrash(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	report := func(f quarantine.Fingerprint, crashed, engine chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Query{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)),
			Crashed: []chicoryhall.EndpointID{crashed}, Endpoints: []chicoryhall.EndpointID{engine},
		}, startTime)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, report(poison, "e1", "e2"))
	must.Eq(t, quarantine.DecisionFree, report(2, "e2", "e3"))
	must.Eq(t, quarantine.DecisionFree, report(3, "e2", "e3"))
	must.Eq(t, quarantine.DecisionRefuse, report(poison, "e2", "e3"))
}

// TestReservationOfLostHolderExpires lets a suspect never report back, as when its daemon dies.
// It fails if expire ignores reservationEnd.
func TestReservationOfLostHolderExpires(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	engines := []chicoryhall.EndpointID{"e2"}
	answer, _ := arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Crashed: []chicoryhall.EndpointID{"e1"}, Endpoints: engines}, startTime)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	repeat := quarantine.Query{Fingerprint: 1, Request: "b", Endpoints: engines}
	answer, _ = arbiter.Ask(repeat, startTime.Add(time.Second))
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	answer, _ = arbiter.Ask(repeat, startTime.Add(20*time.Second))
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
}

// TestNewArbiterAcceptsSuspects queries an arbiter that took over after the crash was reported to
// another one. It fails if Query.Suspect is ignored.
func TestNewArbiterAcceptsSuspects(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	engines := []chicoryhall.EndpointID{"e2"}
	answer, notice := arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Suspect: true, Endpoints: engines}, startTime)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	must.Eq(t, []quarantine.Fingerprint{1}, notice.Suspects)
	answer, _ = arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Crashed: engines}, startTime)
	must.Eq(t, quarantine.DecisionRefuse, answer.Decision)
}

// TestExchangedConvictionsExpire exchanges a conviction back and forth between two daemons. It fails if a
// conviction received from another daemon gets the full lifetime.
func TestExchangedConvictionsExpire(t *testing.T) {
	a, b := quarantine.NewReplica(), quarantine.NewReplica()
	a.Apply(quarantine.Notice{Convicted: []quarantine.Fingerprint{poison}}, startTime)
	now := startTime
	for range 2 * quarantine.ConvictionLifetime / quarantine.ExchangePeriod {
		b.Merge(a.Convictions(now), now)
		a.Merge(b.Convictions(now), now)
		if now == startTime {
			must.Eq(t, quarantine.StateConvicted, b.State(poison, now))
		}
		now = now.Add(quarantine.ExchangePeriod)
	}
	must.Eq(t, quarantine.StateFree, a.State(poison, now))
	must.Eq(t, quarantine.StateFree, b.State(poison, now))
}

// BenchmarkAsk measures the reservation and clearing of one suspect while the arbiter knows the
// given number of other suspects.
func BenchmarkAsk(b *testing.B) {
	for _, others := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("suspects=%d", others), func(b *testing.B) {
			arbiter := quarantine.NewArbiter()
			for i := range others {
				arbiter.Ask(quarantine.Query{Fingerprint: quarantine.Fingerprint(i + 10), Suspect: true}, startTime)
			}
			b.ReportAllocs()
			for b.Loop() {
				arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Suspect: true, Endpoints: []chicoryhall.EndpointID{"e1"}}, startTime)
				arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Kind: quarantine.QueryPassed}, startTime)
			}
		})
	}
}
