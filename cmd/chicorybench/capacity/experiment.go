package capacity

import (
	"runtime"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
)

const (
	// pointsPerSize is the number of points measured at each size.
	pointsPerSize = 3
	// minTimedDuration is the minimum time for which an operation is repeated to measure its duration.
	minTimedDuration = 100 * time.Millisecond
)

// Experiment measures one cost at several sizes of its driver.
type Experiment struct {
	name   string
	unit   string // of the cost
	driver string // what the sizes count, such as "organisations"
	sizes  []int
	// measure returns the cost at one size.
	measure func(size int) (float64, error)
}

// Experiments returns all experiments that can be run in one process.
func Experiments() []Experiment {
	var all []Experiment
	all = append(all, routeExperiments()...)
	all = append(all, admissionExperiments()...)
	all = append(all, limitExperiments()...)
	all = append(all, membershipExperiments()...)
	all = append(all, documentExperiments()...)
	all = append(all, backupExperiments()...)
	all = append(all, watchExperiments()...)
	all = append(all, claimExperiments()...)
	return all
}

// Name returns the name of the experiment's measurement.
func (e *Experiment) Name() string { return e.name }

// Run measures the cost at every size and fits a line. command is recorded as the command that measured it.
func (e *Experiment) Run(command string) (slope.Measurement, error) {
	m := slope.Measurement{Name: e.name, Unit: e.unit, Driver: e.driver, Command: command}
	for _, size := range e.sizes {
		for range pointsPerSize {
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

// microseconds returns the mean duration of one call of operation in microseconds.
func microseconds(operation func()) float64 {
	operation()
	calls := 0
	start := time.Now()
	for time.Since(start) < minTimedDuration {
		operation()
		calls++
	}
	return float64(time.Since(start).Microseconds()) / float64(calls)
}

// heapBytes returns the size of the heap memory that is reachable from the result of build.
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
