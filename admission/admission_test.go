package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/timer"
)

// placesPerEndpoint is the number of calls that one endpoint runs at once.
const placesPerEndpoint = 16

// entered is what became of one request.
type entered struct {
	query    chicoryhall.AdmissionQuery
	permit   chicoryhall.Permit
	startAt  time.Time
	starts   int
	refusals int
}

// scene is one Admission with the requests that entered it.
type scene struct {
	clock     *timer.Manual
	endpoints *fakeEndpoints
	admission *admission.Admission
	requests  []*entered
}

func newScene(document *chicoryhall.Document, others int) *scene {
	s := &scene{clock: timer.NewManual(begin), endpoints: newFakeEndpoints()}
	s.admission = admission.New(s.clock, &fakeDocuments{document}, s.endpoints, &fakeMembers{others})
	return s
}

func (s *scene) enter(class chicoryhall.ClassName, organisation chicoryhall.Organisation, timeout, expected time.Duration) *entered {
	r := &entered{query: chicoryhall.AdmissionQuery{
		Service: "booking", Class: class, Organisation: organisation,
		Deadline: s.clock.Now().Add(timeout), ExpectedDuration: expected,
	}}
	s.requests = append(s.requests, r)
	s.admission.Acquire(r.query,
		func(p chicoryhall.Permit) { r.starts, r.permit, r.startAt = r.starts+1, p, s.clock.Now() },
		func(time.Duration, string) { r.refusals++ })
	return r
}

func (s *scene) running() int {
	count := 0
	for _, r := range s.requests {
		if r.permit != nil {
			count++
		}
	}
	return count
}

func (s *scene) release(r *entered) {
	p := r.permit
	r.permit = nil
	p.Release()
	p.Release()
}

// TestStartsOrRefusesOnce drives arrivals, releases, time and lost endpoints. Mutations that it
// catches: leaving out shed in check; releasing a permit twice; ignoring the limit in pop.
func TestStartsOrRefusesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := rapid.IntRange(1, 3).Draw(t, "endpoints")
		others := rapid.IntRange(0, 9).Draw(t, "others")
		s := newScene(booking(endpoints), others)
		limit := max(1, endpoints*placesPerEndpoint/(others+1))
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				s.enter(
					rapid.SampledFrom([]chicoryhall.ClassName{"draft", "availability"}).Draw(t, "class"),
					rapid.SampledFrom([]chicoryhall.Organisation{"large", "small", "double", "other"}).Draw(t, "organisation"),
					time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout"))*time.Millisecond,
					time.Duration(rapid.IntRange(0, 1000).Draw(t, "expected"))*time.Millisecond)
			},
			"release": func(t *rapid.T) {
				if s.running() == 0 {
					t.Skip("nothing runs")
				}
				for _, r := range s.requests {
					if r.permit != nil {
						s.release(r)
						return
					}
				}
			},
			"advance": func(t *rapid.T) {
				s.clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "millis")) * time.Millisecond)
			},
			"endpoint": func(t *rapid.T) {
				state := chicoryhall.EndpointState(rapid.IntRange(0, 4).Draw(t, "state"))
				s.endpoints.set("p0", state)
			},
			"": func(t *rapid.T) {
				must.LessEq(t, limit+max(1, limit/8), s.running())
				for _, r := range s.requests {
					must.LessEq(t, 1, r.starts+r.refusals)
					if r.starts > 0 {
						must.False(t, r.startAt.After(r.query.Deadline), must.Sprint("started behind its deadline"))
					}
				}
			},
		})
		s.clock.Advance(time.Minute)
		for s.running() > 0 {
			for _, r := range s.requests {
				if r.permit != nil {
					s.release(r)
				}
			}
			s.clock.Advance(time.Second)
		}
		for _, r := range s.requests {
			must.Eq(t, 1, r.starts+r.refusals)
		}
	})
}

// TestAvailabilityGoesFirst fills the service with drafts. Mutation that it catches: ordering
// classes as the document lists them.
func TestAvailabilityGoesFirst(t *testing.T) {
	s := newScene(booking(1), 0)
	for range 2 * placesPerEndpoint {
		s.enter("draft", "large", 4*time.Second, 500*time.Millisecond)
	}
	must.Eq(t, placesPerEndpoint, s.running())
	reserved := s.enter("availability", "small", time.Second, 20*time.Millisecond)
	must.Eq(t, 1, reserved.starts)
	s.enter("availability", "small", time.Second, 20*time.Millisecond)
	third := s.enter("availability", "small", time.Second, 20*time.Millisecond)
	must.Eq(t, 0, third.starts)
	s.release(s.requests[0])
	must.Eq(t, 1, third.starts)
}

// TestFairBetweenOrganisations lets one organisation ask ten times as often. Mutation that it
// catches: taking the longest queue, or leaving the share out of the virtual time.
func TestFairBetweenOrganisations(t *testing.T) {
	s := newScene(booking(1), 0)
	for range 400 {
		s.enter("draft", "large", time.Hour, 100*time.Millisecond)
	}
	for range 40 {
		s.enter("draft", "small", time.Hour, 100*time.Millisecond)
		s.enter("draft", "double", time.Hour, 100*time.Millisecond)
	}
	for range 60 {
		for _, r := range s.requests {
			if r.permit != nil {
				s.release(r)
				break
			}
		}
	}
	starts := make(map[chicoryhall.Organisation]int)
	for _, r := range s.requests {
		starts[r.query.Organisation] += r.starts
	}
	must.Between(t, 14, starts["small"], 16)
	must.Between(t, 28, starts["double"], 32)
	must.Between(t, 28, starts["large"], 34) // 16 places at the start, then a quarter
}

// TestShedsEarly refuses a request that cannot fit when it comes, not at its deadline. Mutation
// that it catches: leaving the wait out of lateness.
func TestShedsEarly(t *testing.T) {
	s := newScene(booking(1), 0)
	for range placesPerEndpoint {
		s.enter("draft", "large", 4*time.Second, time.Second)
	}
	fitting, late := 0, 0
	for range 200 {
		r := s.enter("draft", "large", 4*time.Second, time.Second)
		late += r.refusals
		fitting += 1 - r.refusals
	}
	must.Between(t, 2*placesPerEndpoint, fitting, 3*placesPerEndpoint)
	must.Positive(t, late)
}

// TestNoStartBehindDeadline frees a place between two checks of the deadlines. Mutation that it
// catches: leaving out the deadline in dispatch.
func TestNoStartBehindDeadline(t *testing.T) {
	s := newScene(booking(1), 0)
	for range placesPerEndpoint {
		s.enter("draft", "large", 4*time.Second, 10*time.Millisecond)
	}
	late := s.enter("draft", "large", 30*time.Millisecond, 5*time.Millisecond)
	s.clock.Advance(35 * time.Millisecond)
	must.Eq(t, 0, late.refusals)
	s.release(s.requests[0])
	must.Eq(t, 0, late.starts)
	must.Eq(t, 1, late.refusals)
}

// TestLostEndpointsShedWaiting loses two of three endpoints while requests wait. Mutation that it
// catches: leaving out shed in check, so that requests are refused only at their deadline.
func TestLostEndpointsShedWaiting(t *testing.T) {
	s := newScene(booking(3), 0)
	for range 9 * placesPerEndpoint {
		s.enter("draft", "large", 4*time.Second, time.Second)
	}
	s.endpoints.set("p0", chicoryhall.EndpointDead)
	s.endpoints.set("p1", chicoryhall.EndpointDead)
	s.clock.Advance(50 * time.Millisecond)
	refused := 0
	for _, r := range s.requests {
		refused += r.refusals
	}
	must.Between(t, 3*placesPerEndpoint, refused, 6*placesPerEndpoint)
}
