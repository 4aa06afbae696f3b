package concurrency

import "time"

const (
	// A first event is late if it comes after the target latency and after more than lateRatio times the endpoint's best one.
	lateRatio = 2
	// bestDrift is the part by which the best time grows with each first event, so that it follows an endpoint that has become
	// slower for good, or that gets longer prompts.
	bestDrift = 0.02
	// inTimeMemory is how long a first event in time shows that the endpoint is well, and lateMemory how long a late one counts. One
	// of 66 daemons has a request at the same endpoint every few seconds.
	inTimeMemory = time.Second
	lateMemory   = 5 * time.Second
	// lateToFall is the number of late first events, without one in time among them, after which the limit of an endpoint without
	// evidence against it falls. For one that is starting or has been lowered, one is enough.
	lateToFall = 2
)

// answers is what the times to first events show of one endpoint.
type answers struct {
	// best is the least time to the first event of requests whose first endpoint this is, or 0.
	best time.Duration
	// inTimeAt is when the first event of a route with this endpoint last was in time, lates the number of late ones since, the
	// last of which was at lateAt.
	inTimeAt time.Time
	lateAt   time.Time
	lates    int
}

// restarted returns what still holds after a start of the endpoint.
func (a answers) restarted() answers { return answers{best: a.best} }

// record records the time to a first event of which the endpoint was the first of the route, and returns whether it is late. An
// endpoint of which no time within the target is known may be slow by its load, so that its first times set no standard.
func (a *answers) record(took, target time.Duration) bool {
	best := a.best
	switch {
	case best == 0 && took > target:
		return true
	case best == 0 || took < best:
		a.best = took
	default:
		a.best += time.Duration(bestDrift * float64(best))
	}
	return took > target && took > lateRatio*best
}

// inTime records that a route with this endpoint was in time.
func (a *answers) inTime(now time.Time) { a.inTimeAt, a.lates = now, 0 }

// late records that a route with this endpoint was late, and returns the number of late ones that count.
func (a *answers) late(now time.Time) int {
	if now.Sub(a.inTimeAt) < inTimeMemory && !a.inTimeAt.IsZero() {
		return 0
	}
	if now.Sub(a.lateAt) > lateMemory {
		a.lates = 0
	}
	a.lateAt = now
	a.lates++
	return a.lates
}
