package watch

import (
	"math"
	"time"
)

const (
	// requestTimeDecay is the time in which the weight of past requests falls to 1/e.
	requestTimeDecay = 10 * time.Second
	// defaultRequestTime is the assumed mean request time while the total weight of ended requests is below
	// minEnded.
	defaultRequestTime = 2 * time.Second
	minEnded           = 5
)

// requestTime measures how long a service's requests run at its endpoints. By Little's law the mean time is
// the mean number of requests in flight divided by the rate at which they end.
type requestTime struct {
	updatedAt time.Time
	inFlight  float64
	// inFlightSeconds is the integral of inFlight over time and ended the number of requests that ended;
	// both decay exponentially.
	inFlightSeconds float64
	ended           float64
}

// advance updates the sums to now.
func (r *requestTime) advance(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); !r.updatedAt.IsZero() && elapsed > 0 {
		decay := math.Exp(-float64(elapsed) / float64(requestTimeDecay))
		r.inFlightSeconds = r.inFlightSeconds*decay + r.inFlight*elapsed.Seconds()
		r.ended *= decay
	}
	r.updatedAt = now
}

func (r *requestTime) begin(now time.Time) {
	r.advance(now)
	r.inFlight++
}

func (r *requestTime) end(now time.Time) {
	r.advance(now)
	r.inFlight = math.Max(0, r.inFlight-1)
	r.ended++
}

// mean returns the mean time that a request runs at an endpoint.
func (r *requestTime) mean() time.Duration {
	if r.ended < minEnded {
		return defaultRequestTime
	}
	return time.Duration(r.inFlightSeconds / r.ended * float64(time.Second))
}
