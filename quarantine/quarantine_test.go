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

// request is one request submitted to one daemon. It waits, runs on an endpoint, or has finished.
type request struct {
	id          chicoryhall.RequestID
	fingerprint quarantine.Fingerprint
	daemon      int
	// endpoint is the endpoint that runs the request, or empty while it waits.
	endpoint chicoryhall.EndpointID
	reserved bool
	finished bool
	refused  bool
}

// simulation simulates daemons with their replicas, one arbiter, and endpoints that are replaced
// when they crash.
type simulation struct {
	now      time.Time
	arbiter  *quarantine.Arbiter
	replicas []*quarantine.Replica
	// notices holds the undelivered notices of each daemon; delayed keeps them until deliver is called.
	notices   [][]quarantine.Notice
	delayed   bool
	endpoints []chicoryhall.EndpointID
	// endpointsCreated counts the endpoints created so far.
	endpointsCreated int
	requests         []*request
	// crashes counts the endpoints that poison requests crashed, and unreserved counts the poison requests
	// that ran without a reservation.
	crashes    int
	unreserved int
}

func newSimulation(daemons, endpoints int, delayed bool) *simulation {
	s := &simulation{now: startTime, arbiter: quarantine.NewArbiter(), delayed: delayed, notices: make([][]quarantine.Notice, daemons)}
	for range daemons {
		s.replicas = append(s.replicas, quarantine.NewReplica())
	}
	for range endpoints {
		s.endpoints = append(s.endpoints, s.newEndpoint())
	}
	return s
}

func (s *simulation) newEndpoint() chicoryhall.EndpointID {
	s.endpointsCreated++
	return chicoryhall.EndpointID(fmt.Sprintf("e%03d", s.endpointsCreated))
}

func (s *simulation) submit(fingerprint quarantine.Fingerprint, daemon int) {
	id := chicoryhall.RequestID(fmt.Sprintf("r%d", len(s.requests)))
	s.requests = append(s.requests, &request{id: id, fingerprint: fingerprint, daemon: daemon})
}

// ask queries the arbiter and queues its notice for every daemon.
func (s *simulation) ask(r *request, query quarantine.Query) quarantine.Answer {
	query.Fingerprint, query.Request = r.fingerprint, r.id
	answer, notice := s.arbiter.Ask(query, s.now)
	for i := range s.replicas {
		s.notices[i] = append(s.notices[i], notice)
		if !s.delayed {
			s.deliver(i)
		}
	}
	if query.Kind == quarantine.QueryRun {
		s.replicas[r.daemon].ApplyDecision(r.fingerprint, answer.Decision, s.now)
	}
	return answer
}

// deliver delivers a daemon's pending notices.
func (s *simulation) deliver(daemon int) {
	for _, notice := range s.notices[daemon] {
		s.replicas[daemon].Apply(notice, s.now)
	}
	s.notices[daemon] = nil
}

// place tries to start a request on an endpoint.
func (s *simulation) place(r *request, endpoint chicoryhall.EndpointID) {
	replica := s.replicas[r.daemon]
	state := replica.State(r.fingerprint, s.now)
	switch {
	case state == quarantine.StateConvicted:
		r.finished, r.refused = true, true
		return
	case state == quarantine.StateFree:
		if slices.Contains(replica.ReservedEndpoints(s.now), endpoint) {
			return
		}
		s.start(r, endpoint, false)
		return
	}
	crashed := replica.TakeCrashed(r.fingerprint)
	query := quarantine.Query{Endpoints: []chicoryhall.EndpointID{endpoint}, Crashed: crashed, Suspect: len(crashed) == 0}
	switch s.ask(r, query).Decision {
	case quarantine.DecisionFree:
		s.start(r, endpoint, false)
	case quarantine.DecisionReserved:
		s.start(r, endpoint, true)
	case quarantine.DecisionRefuse:
		r.finished, r.refused = true, true
	case quarantine.DecisionWait:
	}
}

func (s *simulation) start(r *request, endpoint chicoryhall.EndpointID, reserved bool) {
	r.endpoint, r.reserved = endpoint, reserved
	if r.fingerprint == poison && !reserved {
		s.unreserved++
	}
}

// step ends a running request: a poison request crashes its endpoint, any other passes and
// finishes.
func (s *simulation) step(r *request) {
	if r.fingerprint == poison {
		s.crash(r.endpoint)
		return
	}
	if r.reserved {
		s.ask(r, quarantine.Query{Kind: quarantine.QueryPassed})
	}
	r.endpoint, r.finished = "", true
}

// crash replaces an endpoint and makes every request that ran on it a suspect.
func (s *simulation) crash(endpoint chicoryhall.EndpointID) {
	s.crashes++
	s.endpoints[slices.Index(s.endpoints, endpoint)] = s.newEndpoint()
	for _, other := range s.requests {
		if other.endpoint == endpoint {
			other.endpoint, other.reserved = "", false
			s.replicas[other.daemon].MarkSuspect(other.fingerprint, []chicoryhall.EndpointID{endpoint}, s.now)
		}
	}
}

// unfinished returns the unfinished requests that are running or, if running is false, waiting.
func (s *simulation) unfinished(running bool) []*request {
	var found []*request
	for _, r := range s.requests {
		if !r.finished && (r.endpoint != "") == running {
			found = append(found, r)
		}
	}
	return found
}

// mustBeIsolated fails if two suspects share an endpoint or two requests with the same suspect
// fingerprint run at the same time.
func (s *simulation) mustBeIsolated(t *rapid.T) {
	endpoints := make(map[chicoryhall.EndpointID]bool)
	fingerprints := make(map[quarantine.Fingerprint]bool)
	for _, r := range s.unfinished(true) {
		if !r.reserved {
			continue
		}
		must.False(t, endpoints[r.endpoint], must.Sprint("two suspects run on one endpoint"))
		must.False(t, fingerprints[r.fingerprint], must.Sprint("two requests with the same suspect fingerprint run at once"))
		endpoints[r.endpoint], fingerprints[r.fingerprint] = true, true
	}
}

// actions returns the random actions of the property tests; rapid calls the one with the empty name
// after each of the others. With single set, at most one poison request is unfinished at a time.
func (s *simulation) actions(single bool) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"innocent": func(t *rapid.T) {
			fingerprint := quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "fingerprint"))
			s.submit(fingerprint, rapid.IntRange(0, len(s.replicas)-1).Draw(t, "daemon"))
		},
		"poison": func(t *rapid.T) {
			if single && slices.ContainsFunc(s.requests, func(r *request) bool { return r.fingerprint == poison && !r.finished }) {
				t.Skip("a poison request is in progress")
			}
			s.submit(poison, rapid.IntRange(0, len(s.replicas)-1).Draw(t, "daemon"))
		},
		"place": func(t *rapid.T) {
			if waiting := s.unfinished(false); len(waiting) > 0 {
				s.place(rapid.SampledFrom(waiting).Draw(t, "run"), rapid.SampledFrom(s.endpoints).Draw(t, "endpoint"))
			}
		},
		"step": func(t *rapid.T) {
			if running := s.unfinished(true); len(running) > 0 {
				s.step(rapid.SampledFrom(running).Draw(t, "run"))
			}
		},
		"deliver": func(t *rapid.T) { s.deliver(rapid.IntRange(0, len(s.replicas)-1).Draw(t, "daemon")) },
		"":        s.mustBeIsolated,
	}
}

// finish runs all requests to their end, in 200 rounds of 50 ms. It checks that every request ended
// and that only poison requests were refused.
func (s *simulation) finish(t *rapid.T) {
	for range 200 {
		for i, r := range s.unfinished(false) {
			s.place(r, s.endpoints[i%len(s.endpoints)])
		}
		for _, r := range s.unfinished(true) {
			if r.endpoint != "" {
				s.step(r)
			}
		}
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.replicas {
			s.deliver(i)
		}
	}
	for _, r := range s.requests {
		must.True(t, r.finished, must.Sprintf("request %s of %d never ended", r.id, r.fingerprint))
		if r.fingerprint != poison {
			must.False(t, r.refused, must.Sprintf("innocent request %s was refused", r.id))
		}
	}
}

// maxCrashesPerFingerprint is the largest number of endpoints that one fingerprint may crash if its
// requests run one after another: one before it is suspect and one under a reservation.
const maxCrashesPerFingerprint = 2

// TestRepeatedRequestCrashesAtMostTwoEndpoints repeats the poison request at one to six daemons,
// one copy after another. It fails if a suspect is not convicted when its reserved endpoint
// crashes, or if two suspects may share an endpoint.
func TestRepeatedRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(3, 8).Draw(t, "endpoints"), false)
		t.Repeat(s.actions(true))
		s.finish(t)
		must.LessEq(t, maxCrashesPerFingerprint, s.crashes)
	})
}

// TestConcurrentCopies submits copies of the poison request to several daemons at once and delays
// the notices. Each copy that starts without a reservation crashes an endpoint. Another
// copy then crashes an endpoint that is reserved for it, which usually convicts the fingerprint. But
// if an unreserved crash was so far reported only by requests with other fingerprints, the arbiter
// takes it for an unrelated crash and therefore excuses the first crash of a reserved endpoint. A
// copy then gets a second reservation and crashes one more endpoint. So at most two endpoints crash
// in addition to the unreserved ones. The test fails if two requests of one suspect fingerprint may
// run at once.
func TestConcurrentCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 6).Draw(t, "daemons"), rapid.IntRange(4, 8).Draw(t, "endpoints"), true)
		t.Repeat(s.actions(false))
		s.finishWithDelays(t)
		must.LessEq(t, s.unreserved+2, s.crashes)
	})
}

// finishWithDelays runs all requests to their end, in 200 rounds of 50 ms. Unlike finish, it does
// not check which requests were refused: with late notices, a poison request may run on an endpoint
// that is reserved for an innocent suspect, and the crash is then attributed to the innocent one.
func (s *simulation) finishWithDelays(t *rapid.T) {
	for range 200 {
		for i, r := range s.unfinished(false) {
			s.place(r, s.endpoints[i%len(s.endpoints)])
		}
		for _, r := range s.unfinished(true) {
			if r.endpoint != "" {
				s.step(r)
			}
		}
		s.now = s.now.Add(50 * time.Millisecond)
		for i := range s.replicas {
			s.deliver(i)
		}
		s.mustBeIsolated(t)
	}
	must.Eq(t, 0, len(s.unfinished(false))+len(s.unfinished(true)))
}

// TestMassFailureExcusesOneCrash reports crashes of e1, e2 and e4 at the same time, as the failure of
// a rack causes them, and then one of e6. Both e4 and e6 are reserved for fingerprint 1. The test
// fails if crashes of other endpoints at the same time do not excuse the crash of a suspect's
// reserved endpoint, or if they excuse a second one.
func TestMassFailureExcusesOneCrash(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	ask := func(f quarantine.Fingerprint, crashed chicoryhall.EndpointID, endpoint chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Query{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)), Crashed: []chicoryhall.EndpointID{crashed},
			Endpoints: []chicoryhall.EndpointID{endpoint},
		}, startTime)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e1", "e4"))
	must.Eq(t, quarantine.DecisionReserved, ask(2, "e2", "e5"))
	must.Eq(t, quarantine.DecisionReserved, ask(1, "e4", "e6"))
	must.Eq(t, quarantine.DecisionRefuse, ask(1, "e6", "e7"), must.Sprint("only one crash may be excused"))
}

// TestReportsOfAttributedCrash lets other requests report the crash of a reserved endpoint before
// the suspect does: only the suspect is refused. It fails if further reports of an attributed crash
// are not ignored.
func TestReportsOfAttributedCrash(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	report := func(f quarantine.Fingerprint, crashed, endpoint chicoryhall.EndpointID) quarantine.Decision {
		answer, _ := arbiter.Ask(quarantine.Query{
			Fingerprint: f, Request: chicoryhall.RequestID(fmt.Sprint(f)),
			Crashed: []chicoryhall.EndpointID{crashed}, Endpoints: []chicoryhall.EndpointID{endpoint},
		}, startTime)
		return answer.Decision
	}
	must.Eq(t, quarantine.DecisionReserved, report(poison, "e1", "e2"))
	must.Eq(t, quarantine.DecisionFree, report(2, "e2", "e3"))
	must.Eq(t, quarantine.DecisionFree, report(3, "e2", "e3"))
	must.Eq(t, quarantine.DecisionRefuse, report(poison, "e2", "e3"))
}

// TestReservationOfLostHolderExpires lets a holder never report back, as when its daemon dies. It
// fails if reservations do not expire.
func TestReservationOfLostHolderExpires(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	endpoints := []chicoryhall.EndpointID{"e2"}
	answer, _ := arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Crashed: []chicoryhall.EndpointID{"e1"}, Endpoints: endpoints}, startTime)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	repeat := quarantine.Query{Fingerprint: 1, Request: "b", Endpoints: endpoints}
	answer, _ = arbiter.Ask(repeat, startTime.Add(time.Second))
	must.Eq(t, quarantine.DecisionWait, answer.Decision)
	answer, _ = arbiter.Ask(repeat, startTime.Add(20*time.Second))
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
}

// TestNewArbiterAcceptsSuspects queries an arbiter that took over after the crash was reported to
// another one. It fails if Query.Suspect is ignored.
func TestNewArbiterAcceptsSuspects(t *testing.T) {
	arbiter := quarantine.NewArbiter()
	endpoints := []chicoryhall.EndpointID{"e2"}
	answer, notice := arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Suspect: true, Endpoints: endpoints}, startTime)
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
	must.Eq(t, []quarantine.Fingerprint{1}, notice.Suspects)
	answer, _ = arbiter.Ask(quarantine.Query{Fingerprint: 1, Request: "a", Crashed: endpoints}, startTime)
	must.Eq(t, quarantine.DecisionRefuse, answer.Decision)
}

// TestExchangedConvictionsExpire exchanges a conviction back and forth between two daemons. It
// fails if a conviction received from another daemon gets the full lifetime.
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
