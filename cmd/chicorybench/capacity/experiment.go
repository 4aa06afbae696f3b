package capacity

import (
	"runtime"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
)

const (
	// repeats is the number of points measured at each size.
	repeats = 3
	// timedLoop is the least time over which an operation is repeated.
	timedLoop = 100 * time.Millisecond
)

// Experiment measures one cost at several sizes of its driver.
type Experiment struct {
	name   string
	unit   string
	driver string
	sizes  []int
	// measure returns the cost at one size.
	measure func(size int) (float64, error)
}

// Experiments are all that one process can measure by itself.
func Experiments() []Experiment {
	var all []Experiment
	all = append(all, routeExperiments()...)
	all = append(all, admissionExperiments()...)
	all = append(all, limitExperiments()...)
	all = append(all, membershipExperiments()...)
	all = append(all, documentExperiments()...)
	all = append(all, holderExperiments()...)
	all = append(all, watchExperiments()...)
	all = append(all, claimExperiments()...)
	return all
}

// Name returns the name of the measurement that the experiment gives.
func (e *Experiment) Name() string { return e.name }

// Run measures every size and fits the line.
func (e *Experiment) Run(command string) (slope.Measurement, error) {
	m := slope.Measurement{Name: e.name, Unit: e.unit, Driver: e.driver, Command: command}
	for _, size := range e.sizes {
		for range repeats {
			cost, err := e.measure(size)
			if err != nil {
				return m, err
			}
			m.Points = append(m.Points, slope.Point{Size: float64(size), Cost: cost})
		}
	}
	m.Line = slope.Fit(m.Points)
	return m, nil
}

// microseconds returns the mean time of one call of operation.
func microseconds(operation func()) float64 {
	operation()
	calls := 0
	start := time.Now()
	for time.Since(start) < timedLoop {
		operation()
		calls++
	}
	return float64(time.Since(start).Microseconds()) / float64(calls)
}

// heapBytes returns the heap that build keeps.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
