package admission

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// meanUpdateWeight is the weight of the latest finished request in the exponentially weighted
	// means of its class.
	meanUpdateWeight = 0.05
	// The ratio of the actual to the expected duration of a request is clamped to these bounds.
	minCorrection = 0.5
	maxCorrection = 4
)

// waitingRequest is a request that has neither started nor been refused.
type waitingRequest struct {
	query chicoryhall.AdmissionQuery
	// requestedAt is when Acquire was called.
	requestedAt time.Time
	class       *class
	start       func(chicoryhall.Permit)
	refuse      func(retryAfter time.Duration, reason string)
}

// cost returns the work of the request as counted by fair queueing: its number of tokens.
func (w *waitingRequest) cost() float64 {
	return float64(max(1, w.query.Tokens))
}

// flow is the queue of the waiting requests of one organisation in one class. In start-time fair
// queueing, the virtual start time of a request is the virtual finish time of the request before it
// in the flow or the virtual time of the class, whichever is later. Its virtual finish time is
// later by its cost divided by the flow's share. The request with the smallest virtual start time
// goes first.
type flow struct {
	organisation chicoryhall.Organisation
	share        float64
	queue        []*waitingRequest
	// virtualFinish is the virtual finish time of the flow's last started request.
	virtualFinish float64
}

// class is the state of one class of a service.
type class struct {
	config  chicoryhall.DocumentClass
	running int
	queued  int
	// virtualTime is the virtual start time of the request that started last.
	virtualTime float64
	flows       []*flow
	// meanDuration is the mean time that a request holds its permit. Until the first one has
	// finished it is the expected duration of the first request.
	meanDuration time.Duration
	// durationCorrection is the mean ratio of the actual to the expected duration.
	durationCorrection float64
}

func newClass(document chicoryhall.DocumentClass) *class {
	return &class{config: document, durationCorrection: 1}
}

func (c *class) flowOf(organisation chicoryhall.Organisation) *flow {
	for _, f := range c.flows {
		if f.organisation == organisation {
			return f
		}
	}
	return nil
}

func (c *class) queueLength(organisation chicoryhall.Organisation) int {
	if f := c.flowOf(organisation); f != nil {
		return len(f.queue)
	}
	return 0
}

// push appends a request to the queue of its organisation.
func (c *class) push(w *waitingRequest, share float64) {
	f := c.flowOf(w.query.Organisation)
	if f == nil {
		f = &flow{organisation: w.query.Organisation}
		c.flows = append(c.flows, f)
	}
	f.share = share
	f.queue = append(f.queue, w)
	c.queued++
	if c.meanDuration == 0 { // No request has finished yet.
		c.meanDuration = w.query.ExpectedDuration
	}
}

// pop removes the first request of the flow with the smallest virtual start time. At least one
// request must be waiting.
func (c *class) pop() *waitingRequest {
	var next *flow
	least := math.Inf(1)
	for _, f := range c.flows {
		if start := math.Max(f.virtualFinish, c.virtualTime); len(f.queue) > 0 && start < least {
			next, least = f, start
		}
	}
	w := next.queue[0]
	next.queue[0] = nil
	next.queue = next.queue[1:]
	c.queued--
	c.virtualTime = least
	next.virtualFinish = least + w.cost()/next.share
	return w
}

// requestsAhead estimates how many requests of the class start before one that has the given number
// of requests before it in its organisation's queue. In the time in which an organisation with the
// given share starts one request, all organisations with waiting requests together start a number of
// requests that is the sum of their shares divided by its share, and at least 1. The estimate is that
// ratio times the position, but no more than are waiting. A request at position 0 is therefore expected to start
// next, although requests of other organisations may start before it.
func (c *class) requestsAhead(share float64, position int) float64 {
	shares := 0.0
	for _, f := range c.flows {
		if len(f.queue) > 0 {
			shares += f.share
		}
	}
	return math.Min(float64(c.queued), float64(position)*math.Max(1, shares/share))
}

// correctedDuration returns the expected duration that a query states, corrected by the ratio of
// actual to stated durations of earlier requests.
func (c *class) correctedDuration(stated time.Duration) time.Duration {
	return time.Duration(float64(stated) * c.durationCorrection)
}

// recordFinished updates the means with a finished request. The stated duration is the uncorrected
// one of its query.
func (c *class) recordFinished(duration, stated time.Duration) {
	c.meanDuration += time.Duration(meanUpdateWeight * float64(duration-c.meanDuration))
	if stated <= 0 {
		return
	}
	ratio := math.Min(maxCorrection, math.Max(minCorrection, float64(duration)/float64(stated)))
	c.durationCorrection += meanUpdateWeight * (ratio - c.durationCorrection)
}
