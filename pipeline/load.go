package pipeline

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

// maxSlowdown bounds the factor by which a reported step time may raise an endpoint's expected
// time.
const maxSlowdown = 20

// load is the expected current load of an endpoint.
type load struct {
	streams float64
	// stepTime is the reported mean step time in nanoseconds, or 0.
	stepTime float64
	// timeFactor multiplies the times of the endpoint. It is 1/(1-utilization), as in a queue,
	// because the endpoint is already utilised in part. For the endpoint of a new hop,
	// pickCandidate multiplies it by the daemon's bias, which therefore also shows in the expected
	// times of the route; reused hops have no bias.
	timeFactor float64
}

// maxUtilization bounds the utilization from which timeFactor is computed.
const maxUtilization = 0.8

// loadOf adds the work that this daemon has in flight to the endpoint's last report.
func loadOf(view chicoryhall.EndpointView) load {
	reported := view.Load.Running + view.Load.Waiting
	return load{
		streams:  float64(reported + view.InFlight),
		stepTime: float64(view.Load.StepMicros) * float64(time.Microsecond),

		timeFactor: 1 / (1 - math.Min(maxUtilization, view.Utilization)),
	}
}

// slowdown returns the ratio of the reported step time to that of a full batch, limited to the
// range from 1 to maxSlowdown. Steps with full batches are expected; longer ones show that the
// endpoint is slow.
func (l load) slowdown(t timings, layers int) float64 {
	full := t.batchTime(layers, t.maxBatch)
	return math.Min(maxSlowdown, math.Max(1, l.stepTime/full))
}
