package pipeline

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

// maxSlowdown bounds how much a reported step time may raise an engine's expected time.
const maxSlowdown = 20

// load is what is expected to be at an engine now.
type load struct {
	streams float64
	// stepTime is the reported mean stepTime time in nanoseconds, or 0.
	stepTime float64
	// queueFactor multiplies the times of an engine whose time is taken in part, as in a queue.
	queueFactor float64
}

// maxUtilization bounds the part of an engine's time that counts as taken.
const maxUtilization = 0.8

// loadOf joins the late report with the work that this daemon itself has in flight.
func loadOf(view chicoryhall.EndpointView) load {
	reported := view.Load.Running + view.Load.Waiting
	return load{
		streams:  float64(reported + view.InFlight),
		stepTime: float64(view.Load.StepMicros) * float64(time.Microsecond),

		queueFactor: 1 / (1 - math.Min(maxUtilization, view.Utilization)),
	}
}

// slowdown tells how much longer the engine's steps take than a full batch should.
func (l load) slowdown(v timings, layers int) float64 {
	full := v.batchTime(layers, v.maxBatch)
	return math.Min(maxSlowdown, math.Max(1, l.stepTime/full))
}
