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

// slotsPerEndpoint is the number of calls that one endpoint runs at once.
const slotsPerEndpoint = 16

// testRequest records what happened to one request.
type testRequest struct {
	query     chicoryhall.AdmissionQuery
	permit    chicoryhall.Permit
	startedAt time.Time
	starts    int
	refusals  int
}

// fixture is a Controller with the requests made to it.
type fixture struct {
	clock     *timer.Manual
	endpoints *fakeEndpoints
	admission *admission.Controller
	requests  []*testRequest
}

func newFixture(document *chicoryhall.Document, others int) *fixture {
	f := &fixture{clock: timer.NewManual(startTime), endpoints: newFakeEndpoints()}
	f.admission = admission.New(f.clock, &fakeDocuments{document}, f.endpoints, &fakeMembers{others})
	return f
}

func (f *fixture) acquire(class chicoryhall.ClassName, organisation chicoryhall.Organisation, timeout, expected time.Duration) *testRequest {
	r := &testRequest{query: chicoryhall.AdmissionQuery{
		Service: "booking", Class: class, Organisation: organisation,
		Deadline: f.clock.Now().Add(timeout), ExpectedDuration: expected,
	}}
	f.requests = append(f.requests, r)
	f.admission.Acquire(r.query,
		func(p chicoryhall.Permit) { r.starts, r.permit, r.startedAt = r.starts+1, p, f.clock.Now() },
		func(time.Duration, string) { r.refusals++ })
	return r
}

func (f *fixture) running() int {
	count := 0
	for _, r := range f.requests {
		if r.permit != nil {
			count++
		}
	}
	return count
}

func (f *fixture) release(r *testRequest) {
	p := r.permit
	r.permit = nil
	p.Release()
	p.Release()
}

// TestStartsOrRefusesOnce draws arrivals, releases, delays and endpoint failures at random. It
// checks that every request is started or refused exactly once and that the limit holds. It fails
// if late requests are not refused while they wait, if a permit can be released twice, or if the
// limit is ignored.
func TestStartsOrRefusesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := rapid.IntRange(1, 3).Draw(t, "endpoints")
		others := rapid.IntRange(0, 9).Draw(t, "others")
		f := newFixture(bookingDocument(endpoints), others)
		limit := max(1, endpoints*slotsPerEndpoint/(others+1))
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				f.acquire(
					rapid.SampledFrom([]chicoryhall.ClassName{"draft", "availability"}).Draw(t, "class"),
					rapid.SampledFrom([]chicoryhall.Organisation{"large", "small", "double", "other"}).Draw(t, "organisation"),
					time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout"))*time.Millisecond,
					time.Duration(rapid.IntRange(0, 1000).Draw(t, "expected"))*time.Millisecond)
			},
			"release": func(t *rapid.T) {
				if f.running() == 0 {
					t.Skip("nothing runs")
				}
				for _, r := range f.requests {
					if r.permit != nil {
						f.release(r)
						return
					}
				}
			},
			"advance": func(t *rapid.T) {
				f.clock.Advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "millis")) * time.Millisecond)
			},
			"endpoint": func(t *rapid.T) {
				state := chicoryhall.EndpointState(rapid.IntRange(0, 4).Draw(t, "state"))
				f.endpoints.set("p0", state)
			},
			"": func(t *rapid.T) {
				must.LessEq(t, limit+max(1, limit/8), f.running())
				for _, r := range f.requests {
					must.LessEq(t, 1, r.starts+r.refusals)
					if r.starts > 0 {
						must.False(t, r.startedAt.After(r.query.Deadline), must.Sprint("started after its deadline"))
					}
				}
			},
		})
		f.clock.Advance(time.Minute)
		for f.running() > 0 {
			for _, r := range f.requests {
				if r.permit != nil {
					f.release(r)
				}
			}
			f.clock.Advance(time.Second)
		}
		for _, r := range f.requests {
			must.Eq(t, 1, r.starts+r.refusals)
		}
	})
}

// TestHigherPriorityStartsFirst fills the service with drafts. Two availability checks start from
// the reserve of 16/8 slots, and the third one before any waiting draft. It fails if classes are
// ordered as the document lists them instead of by priority.
func TestHigherPriorityStartsFirst(t *testing.T) {
	f := newFixture(bookingDocument(1), 0)
	for range 2 * slotsPerEndpoint {
		f.acquire("draft", "large", 4*time.Second, 500*time.Millisecond)
	}
	must.Eq(t, slotsPerEndpoint, f.running())
	reserved := f.acquire("availability", "small", time.Second, 20*time.Millisecond)
	must.Eq(t, 1, reserved.starts)
	f.acquire("availability", "small", time.Second, 20*time.Millisecond)
	third := f.acquire("availability", "small", time.Second, 20*time.Millisecond)
	must.Eq(t, 0, third.starts)
	f.release(f.requests[0])
	must.Eq(t, 1, third.starts)
}

// TestFairBetweenOrganisations lets one organisation send ten times as many requests as the others.
// It fails if the longest queue goes first or if the organisations' shares are ignored.
func TestFairBetweenOrganisations(t *testing.T) {
	f := newFixture(bookingDocument(1), 0)
	for range 400 {
		f.acquire("draft", "large", time.Hour, 100*time.Millisecond)
	}
	for range 40 {
		f.acquire("draft", "small", time.Hour, 100*time.Millisecond)
		f.acquire("draft", "double", time.Hour, 100*time.Millisecond)
	}
	for range 60 {
		for _, r := range f.requests {
			if r.permit != nil {
				f.release(r)
				break
			}
		}
	}
	starts := make(map[chicoryhall.Organisation]int)
	for _, r := range f.requests {
		starts[r.query.Organisation] += r.starts
	}
	must.Between(t, 14, starts["small"], 16)
	must.Between(t, 28, starts["double"], 32)
	must.Between(t, 28, starts["large"], 34) // all 16 slots at the start, then a quarter of the 60 releases
}

// TestRefusesEarly checks that a request that cannot meet its deadline is refused on arrival. It
// fails if the expected wait is ignored.
func TestRefusesEarly(t *testing.T) {
	f := newFixture(bookingDocument(1), 0)
	for range slotsPerEndpoint {
		f.acquire("draft", "large", 4*time.Second, time.Second)
	}
	fitting, late := 0, 0
	for range 200 {
		r := f.acquire("draft", "large", 4*time.Second, time.Second)
		late += r.refusals
		fitting += 1 - r.refusals
	}
	must.Between(t, 2*slotsPerEndpoint, fitting, 3*slotsPerEndpoint)
	must.Positive(t, late)
}

// TestNoStartAfterDeadline frees a slot between two periodic checks of the deadlines. It fails if
// the deadline is not checked again before the start.
func TestNoStartAfterDeadline(t *testing.T) {
	f := newFixture(bookingDocument(1), 0)
	for range slotsPerEndpoint {
		f.acquire("draft", "large", 4*time.Second, 10*time.Millisecond)
	}
	late := f.acquire("draft", "large", 30*time.Millisecond, 5*time.Millisecond)
	f.clock.Advance(35 * time.Millisecond)
	must.Eq(t, 0, late.refusals)
	f.release(f.requests[0])
	must.Eq(t, 0, late.starts)
	must.Eq(t, 1, late.refusals)
}

// TestLostEndpointsRefuseWaiting loses two of three endpoints while requests wait. It fails if
// waiting requests are refused only at their deadlines.
func TestLostEndpointsRefuseWaiting(t *testing.T) {
	f := newFixture(bookingDocument(3), 0)
	for range 9 * slotsPerEndpoint {
		f.acquire("draft", "large", 4*time.Second, time.Second)
	}
	f.endpoints.set("p0", chicoryhall.EndpointDead)
	f.endpoints.set("p1", chicoryhall.EndpointDead)
	f.clock.Advance(50 * time.Millisecond)
	refused := 0
	for _, r := range f.requests {
		refused += r.refusals
	}
	must.Between(t, 3*slotsPerEndpoint, refused, 6*slotsPerEndpoint)
}
