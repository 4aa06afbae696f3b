package admission

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// meanWeight is the weight of one finished request in the running means of its class.
	meanWeight = 0.05
	// The bounds of the ratio of the actual to the expected duration of a request.
	minCorrection = 0.5
	maxCorrection = 4
)

// waitingRequest is a request that has neither started nor been refused.
type waitingRequest struct {
	query chicoryhall.AdmissionQuery
	// enteredAt is when Acquire was called.
	enteredAt time.Time
	class     *class
	start     func(chicoryhall.Permit)
	refuse    func(retryAfter time.Duration, reason string)
}

// cost returns the work of the request as counted by fair queueing: its number of tokens.
func (w *waitingRequest) cost() float64 {
	return float64(max(1, w.query.Tokens))
}

// flow is the queue of the waiting requests of one organisation in one class.
type flow struct {
	organisation chicoryhall.Organisation
	share        float64
	queue        []*waitingRequest
	// virtualFinish is the virtual finish time of the organisation's last started request. Virtual
	// time is measured in cost divided by share.
	virtualFinish float64
}

// class is the state of one class of a service.
type class struct {
	document chicoryhall.DocumentClass
	running  int
	queued   int
	// virtualTime is the virtual start time of the request that started last.
	virtualTime float64
	flows       []*flow
	// meanHoldTime is the mean time that a request holds its permit.
	meanHoldTime time.Duration
	// correction is the mean ratio of the actual to the expected duration.
	correction float64
}

func newClass(document chicoryhall.DocumentClass) *class {
	return &class{document: document, correction: 1}
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
	if c.meanHoldTime == 0 {
		c.meanHoldTime = w.query.ExpectedDuration
	}
}

// pop removes the first request of the flow with the smallest virtual start time, as in start-time
// fair queueing. The cost of a request is divided by the organisation's share. At least one request
// must be waiting.
func (c *class) pop() *waitingRequest {
	var next *flow
	least := math.Inf(1)
	for _, f := range c.flows {
		if tag := math.Max(f.virtualFinish, c.virtualTime); len(f.queue) > 0 && tag < least {
			next, least = f, tag
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

// aheadAt returns the expected number of requests of the class that start before the one at a
// position in the queue of an organisation with the given share: the other organisations start
// requests in proportion to their shares meanwhile.
func (c *class) aheadAt(share float64, position int) float64 {
	shares := 0.0
	for _, f := range c.flows {
		if len(f.queue) > 0 {
			shares += f.share
		}
	}
	return math.Min(float64(c.queued), float64(position)*math.Max(1, shares/share))
}

// expectedDuration returns the stated duration corrected by how long other requests took.
func (c *class) expectedDuration(stated time.Duration) time.Duration {
	return time.Duration(float64(stated) * c.correction)
}

// recordFinished updates the means with a finished request.
func (c *class) recordFinished(held, expected time.Duration) {
	c.meanHoldTime += time.Duration(meanWeight * float64(held-c.meanHoldTime))
	if expected <= 0 {
		return
	}
	ratio := math.Min(maxCorrection, math.Max(minCorrection, float64(held)/float64(expected)))
	c.correction += meanWeight * (ratio - c.correction)
}
