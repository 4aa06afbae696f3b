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

// Goodput is the work that requests complete within their deadlines. Daemons share one pool of
// endpoints. Once the pool runs more requests than it has slots, all of them slow down by the ratio
// of the two numbers.
const (
	goodputDaemons      = 8
	goodputEndpoints    = 8
	goodputSlots        = goodputEndpoints * slotsPerEndpoint
	goodputTick         = time.Millisecond
	goodputDuration     = 40 * time.Second
	goodputWarmUp       = 10 * time.Second
	draftTime           = time.Second
	draftTimeout        = 4 * time.Second
	availabilityTime    = 20 * time.Millisecond
	availabilityTimeout = 500 * time.Millisecond
	// availabilityShare is the part of the capacity that availability checks need.
	availabilityShare = 0.05
)

// job is one running request.
type job struct {
	left    time.Duration
	arrived time.Time
	class   chicoryhall.ClassName
	permit  chicoryhall.Permit
}

// poolSimulation simulates the pool and records what it achieves.
type poolSimulation struct {
	clock       *timer.Manual
	random      *rand.Rand
	controllers []chicoryhall.Admission
	jobs        []*job
	// good is the work of requests that ended within their deadlines.
	good               time.Duration
	availabilityDelays []time.Duration
	missedAvailability int
}

// admitAll is a chicoryhall.Admission that starts every request at once, for comparison.
type admitAll struct{}

type noPermit struct{}

func (noPermit) Release() {}

func (admitAll) Acquire(_ chicoryhall.AdmissionQuery, start func(chicoryhall.Permit), _ func(time.Duration, string)) {
	start(noPermit{})
}

func newPoolSimulation(useAdmitAll bool) *poolSimulation {
	s := &poolSimulation{clock: timer.NewManual(startTime), random: rand.New(rand.NewPCG(1, 1))}
	for range goodputDaemons {
		if useAdmitAll {
			s.controllers = append(s.controllers, admitAll{})
			continue
		}
		s.controllers = append(s.controllers, admission.New(s.clock, &fakeDocuments{bookingDocument(goodputEndpoints)},
			newFakeEndpoints(), &fakeMembers{goodputDaemons - 1}))
	}
	return s
}

// run offers the given multiple of the pool's capacity.
func (s *poolSimulation) run(overload float64) {
	drafts := overload * (1 - availabilityShare) * goodputSlots * goodputTick.Seconds() / draftTime.Seconds()
	checks := availabilityShare * goodputSlots * goodputTick.Seconds() / availabilityTime.Seconds()
	for now := time.Duration(0); now < goodputDuration; now += goodputTick {
		s.arrive("draft", drafts, draftTime, draftTimeout)
		s.arrive("availability", checks, availabilityTime, availabilityTimeout)
		s.clock.Advance(goodputTick)
		s.work(now > goodputWarmUp)
	}
}

// arrive sends a Poisson-distributed number of requests to random daemons.
func (s *poolSimulation) arrive(class chicoryhall.ClassName, mean float64, need, timeout time.Duration) {
	// next is the time of the next arrival, in units of the mean time between arrivals.
	for next := s.random.ExpFloat64(); next < mean; next += s.random.ExpFloat64() {
		j := &job{left: time.Duration(float64(need) * (0.5 + s.random.Float64())), arrived: s.clock.Now(), class: class}
		organisation := chicoryhall.Organisation("large")
		if s.random.IntN(10) == 0 {
			organisation = "small"
		}
		query := chicoryhall.AdmissionQuery{
			Service: "booking", Class: class, Organisation: organisation,
			Deadline: s.clock.Now().Add(timeout), ExpectedDuration: need,
		}
		s.controllers[s.random.IntN(goodputDaemons)].Acquire(query,
			func(p chicoryhall.Permit) { j.permit = p; s.jobs = append(s.jobs, j) },
			func(time.Duration, string) {
				if class == "availability" {
					s.missedAvailability++
				}
			})
	}
}

// work advances every running job by one tick at the current speed of the pool.
func (s *poolSimulation) work(counted bool) {
	speed := min(1, float64(goodputSlots)/float64(max(1, len(s.jobs))))
	var done []*job
	s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool {
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
			s.count(j)
		}
	}
}

func (s *poolSimulation) count(j *job) {
	took := s.clock.Now().Sub(j.arrived)
	if j.class == "availability" {
		s.availabilityDelays = append(s.availabilityDelays, took)
		if took > availabilityTimeout {
			s.missedAvailability++
			return
		}
		s.good += availabilityTime
		return
	}
	if took <= draftTimeout {
		s.good += draftTime
	}
}

// goodput returns the work done in time divided by the work that the pool can do.
func (s *poolSimulation) goodput() float64 {
	return s.good.Seconds() / ((goodputDuration - goodputWarmUp).Seconds() * goodputSlots)
}

func (s *poolSimulation) availabilityP99() time.Duration {
	slices.Sort(s.availabilityDelays)
	return s.availabilityDelays[len(s.availabilityDelays)*99/100]
}

// The lowest goodput and the longest p99 of availability checks allowed under overload.
const (
	minGoodput         = 0.9
	maxAvailabilityP99 = 100 * time.Millisecond
)

// TestGoodputHoldsUnderOverload offers twice and five times the capacity in virtual time. It fails
// if every request is started at once, as the cases of BenchmarkGoodput with open=true, which use
// admitAll, show.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, overload := range []float64{2, 5} {
		t.Run(fmt.Sprintf("load=%g", overload), func(t *testing.T) {
			s := newPoolSimulation(false)
			s.run(overload)
			must.GreaterEq(t, minGoodput, s.goodput())
			must.LessEq(t, maxAvailabilityP99, s.availabilityP99())
			must.Eq(t, 0, s.missedAvailability)
		})
	}
}

func BenchmarkGoodput(b *testing.B) {
	for _, overload := range []float64{1, 2, 5} {
		for _, useAdmitAll := range []bool{false, true} {
			b.Run(fmt.Sprintf("load=%g/open=%t", overload, useAdmitAll), func(b *testing.B) {
				for b.Loop() {
					s := newPoolSimulation(useAdmitAll)
					s.run(overload)
					b.ReportMetric(s.goodput(), "of-bound")
					b.ReportMetric(float64(s.availabilityP99().Milliseconds()), "check-p99-ms")
					b.ReportMetric(float64(s.missedAvailability), "late-checks")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkAcquire measures one admission with the given number of endpoints and waiting requests.
func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ endpoints, waiting int }{{30, 0}, {420, 0}, {420, 1000}} {
		b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size.endpoints, size.waiting), func(b *testing.B) {
			f := newFixture(bookingDocument(size.endpoints), 0)
			started := func(p chicoryhall.Permit) { p.Release() }
			refused := func(time.Duration, string) { b.Fatal("refused") }
			query := chicoryhall.AdmissionQuery{
				Service: "booking", Class: "draft", Organisation: "large",
				Deadline: startTime.Add(time.Hour), ExpectedDuration: time.Second,
			}
			if size.waiting > 0 {
				for range size.waiting + size.endpoints*slotsPerEndpoint {
					f.admission.Acquire(query, func(chicoryhall.Permit) {}, refused)
				}
				query.Class = "availability"
			}
			b.ReportAllocs()
			for b.Loop() {
				f.admission.Acquire(query, started, refused)
			}
		})
	}
}
