package admission_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/timer"
)

// The shape of the offered load: daemons before one pool of endpoints that slows down in
// proportion once more requests run than it has places.
const (
	goodputDaemons   = 8
	goodputEndpoints = 8
	goodputPlaces    = goodputEndpoints * placesPerEndpoint
	goodputTick      = time.Millisecond
	goodputDuration  = 40 * time.Second
	goodputWarmUp    = 10 * time.Second
	draftTime        = time.Second
	draftTimeout     = 4 * time.Second
	checkTime        = 20 * time.Millisecond
	checkTimeout     = 500 * time.Millisecond
	// checkShare is the part of the capacity that availability checks ask for.
	checkShare = 0.05
)

// job is one request that runs.
type job struct {
	left    time.Duration
	arrived time.Time
	class   chicoryhall.ClassName
	permit  chicoryhall.Permit
}

// poolRun is the pool's state and what it has achieved.
type poolRun struct {
	clock  *timer.Manual
	random *rand.Rand
	doors  []chicoryhall.Admission
	jobs   []*job
	// good is the work of requests that ended within their deadlines.
	good        time.Duration
	checkDelays []time.Duration
	lateChecks  int
}

// openDoor is a chicoryhall.Admission that starts everything, for comparison.
type openDoor struct{}

type noPermit struct{}

func (noPermit) Release() {}

func (openDoor) Acquire(_ chicoryhall.AdmissionQuery, start func(chicoryhall.Permit), _ func(time.Duration, string)) {
	start(noPermit{})
}

func newPoolRun(open bool) *poolRun {
	r := &poolRun{clock: timer.NewManual(begin), random: rand.New(rand.NewPCG(1, 1))}
	for range goodputDaemons {
		if open {
			r.doors = append(r.doors, openDoor{})
			continue
		}
		r.doors = append(r.doors, admission.New(r.clock, &fakeDocuments{booking(goodputEndpoints)},
			newFakeEndpoints(), &fakeMembers{goodputDaemons - 1}))
	}
	return r
}

// run offers the given multiple of the pool's capacity.
func (r *poolRun) run(overload float64) {
	drafts := overload * (1 - checkShare) * goodputPlaces * goodputTick.Seconds() / draftTime.Seconds()
	checks := checkShare * goodputPlaces * goodputTick.Seconds() / checkTime.Seconds()
	for now := time.Duration(0); now < goodputDuration; now += goodputTick {
		r.arrive("draft", drafts, draftTime, draftTimeout)
		r.arrive("availability", checks, checkTime, checkTimeout)
		r.clock.Advance(goodputTick)
		r.work(now > goodputWarmUp)
	}
}

// arrive lets a Poisson number of requests come to random daemons.
func (r *poolRun) arrive(class chicoryhall.ClassName, mean float64, need, timeout time.Duration) {
	for left := r.random.ExpFloat64(); left < mean; left += r.random.ExpFloat64() {
		j := &job{left: time.Duration(float64(need) * (0.5 + r.random.Float64())), arrived: r.clock.Now(), class: class}
		organisation := chicoryhall.Organisation("large")
		if r.random.IntN(10) == 0 {
			organisation = "small"
		}
		query := chicoryhall.AdmissionQuery{
			Service: "booking", Class: class, Organisation: organisation,
			Deadline: r.clock.Now().Add(timeout), ExpectedDuration: need,
		}
		r.doors[r.random.IntN(goodputDaemons)].Acquire(query,
			func(p chicoryhall.Permit) { j.permit = p; r.jobs = append(r.jobs, j) },
			func(time.Duration, string) {
				if class == "availability" {
					r.lateChecks++
				}
			})
	}
}

// work advances every running job by its part of the pool.
func (r *poolRun) work(counted bool) {
	speed := min(1, float64(goodputPlaces)/float64(max(1, len(r.jobs))))
	var done []*job
	r.jobs = slices.DeleteFunc(r.jobs, func(j *job) bool {
		j.left -= time.Duration(float64(goodputTick) * speed)
		if j.left > 0 {
			return false
		}
		done = append(done, j)
		return true
	})
	for _, j := range done {
		j.permit.Release()
		if counted {
			r.count(j)
		}
	}
}

func (r *poolRun) count(j *job) {
	took := r.clock.Now().Sub(j.arrived)
	if j.class == "availability" {
		r.checkDelays = append(r.checkDelays, took)
		if took > checkTimeout {
			r.lateChecks++
			return
		}
		r.good += checkTime
		return
	}
	if took <= draftTimeout {
		r.good += draftTime
	}
}

// goodput is the work done in time over what the pool can do.
func (r *poolRun) goodput() float64 {
	return r.good.Seconds() / ((goodputDuration - goodputWarmUp).Seconds() * goodputPlaces)
}

func (r *poolRun) checkP99() time.Duration {
	slices.Sort(r.checkDelays)
	return r.checkDelays[len(r.checkDelays)*99/100]
}

// The least goodput over the bound, and the longest p99 of availability checks, under overload.
const (
	wantedGoodput  = 0.9
	wantedCheckP99 = 100 * time.Millisecond
)

// TestGoodputHoldsUnderOverload offers twice and five times the capacity in virtual time. Mutation
// that it catches: an Admission that starts everything, as BenchmarkGoodput's open case shows.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, overload := range []float64{2, 5} {
		t.Run(fmt.Sprintf("load=%g", overload), func(t *testing.T) {
			r := newPoolRun(false)
			r.run(overload)
			must.GreaterEq(t, wantedGoodput, r.goodput())
			must.LessEq(t, wantedCheckP99, r.checkP99())
			must.Eq(t, 0, r.lateChecks)
		})
	}
}

func BenchmarkGoodput(b *testing.B) {
	for _, overload := range []float64{1, 2, 5} {
		for _, open := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%g/open=%t", overload, open), func(b *testing.B) {
				for b.Loop() {
					r := newPoolRun(open)
					r.run(overload)
					b.ReportMetric(r.goodput(), "of-bound")
					b.ReportMetric(float64(r.checkP99().Milliseconds()), "check-p99-ms")
					b.ReportMetric(float64(r.lateChecks), "late-checks")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkEnter is the cost of one admission with the given number of endpoints and requests
// waiting.
func BenchmarkEnter(b *testing.B) {
	for _, size := range []struct{ endpoints, waiting int }{{30, 0}, {420, 0}, {420, 1000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			s := newScene(booking(size.endpoints), 0)
			started := func(p chicoryhall.Permit) { p.Release() }
			refused := func(time.Duration, string) { b.Fatal("refused") }
			query := chicoryhall.AdmissionQuery{
				Service: "booking", Class: "draft", Organisation: "large",
				Deadline: begin.Add(time.Hour), ExpectedDuration: time.Second,
			}
			if size.waiting > 0 {
				for range size.waiting + size.endpoints*placesPerEndpoint {
					s.admission.Acquire(query, func(chicoryhall.Permit) {}, refused)
				}
				query.Class = "availability"
			}
			b.ReportAllocs()
			for b.Loop() {
				s.admission.Acquire(query, started, refused)
			}
		})
	}
}
