package concurrency

import (
	"math"
	"time"
)

// minFactor is the factor of the chance in the first turn: some daemons have no request.
const minFactor = 2

// turn spreads the first requests of many busy daemons to an endpoint that is starting. All of them see it idle, and learn of each
// other's requests only later. In each turnPeriod, a daemon therefore sends there with a chance at which all daemons together
// use the room that is left. As most of them may have no request, the chance doubles with each turn after which less than half
// of the limit is in use, until it is 1: after 0.4 s with 66 daemons and a limit of 2.
type turn struct {
	until  time.Time
	factor float64
	// bound is the number of requests in flight of all daemons up to which this one sends in this turn.
	bound float64
}

// limit returns the part of a limit that this daemon uses now, or 0 if it has to wait for another turn.
func (t *turn) limit(limit float64, f Flight, random func() float64, now time.Time) float64 {
	if !f.Busy { // Few requests begin before their daemons learn of each other.
		*t = turn{}
		return limit
	}
	if now.Before(t.until) {
		return t.bound
	}
	t.until = now.Add(turnPeriod)
	if t.factor < minFactor || 2*f.Requests >= limit {
		t.factor = minFactor
	} else {
		t.factor = math.Min(2*t.factor, float64(f.Daemons))
	}
	t.bound = 0
	share := t.factor * (limit - f.Requests) / float64(max(1, f.Daemons))
	if random() < share {
		t.bound = math.Min(limit, f.Requests+math.Max(1, share))
	}
	return t.bound
}
