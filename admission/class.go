package admission

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// learningRate is the weight of one finished request in the running means of its class.
	learningRate = 0.05
	// The bounds of the ratio between the time that requests took and that was expected.
	minCorrection = 0.5
	maxCorrection = 4
)

// waiting is one request that has neither started nor been refused.
type waiting struct {
	query chicoryhall.AdmissionQuery
	// entered is when the request asked for a place.
	entered time.Time
	class   *class
	start   func(chicoryhall.Permit)
	refuse  func(retryAfter time.Duration, reason string)
}

// cost is the work of the request in the unit of the fair shares.
func (w *waiting) cost() float64 {
	return float64(max(1, w.query.Tokens))
}

// flow is the waiting requests of one organisation in one class.
type flow struct {
	organisation chicoryhall.Organisation
	share        float64
	queue        []*waiting
	// finish is the virtual time at which the organisation has had its share so far.
	finish float64
}

// class is the requests of one class of a service.
type class struct {
	document chicoryhall.DocumentClass
	running  int
	queued   int
	// virtual is the start tag of the request that started last.
	virtual float64
	flows   []*flow
	// held is the mean time that a request keeps its place.
	held time.Duration
	// correction is the mean ratio of the time taken to the time expected.
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

func (c *class) queuedOf(organisation chicoryhall.Organisation) int {
	if f := c.flowOf(organisation); f != nil {
		return len(f.queue)
	}
	return 0
}

// push appends a request to its organisation's queue.
func (c *class) push(w *waiting, share float64) {
	f := c.flowOf(w.query.Organisation)
	if f == nil {
		f = &flow{organisation: w.query.Organisation}
		c.flows = append(c.flows, f)
	}
	f.share = share
	f.queue = append(f.queue, w)
	c.queued++
	if c.held == 0 {
		c.held = w.query.ExpectedDuration
	}
}

// pop removes the first request of the organisation that has had least of its share: start-time
// fair queueing with the cost divided by the share.
func (c *class) pop() *waiting {
	var next *flow
	least := math.Inf(1)
	for _, f := range c.flows {
		if tag := math.Max(f.finish, c.virtual); len(f.queue) > 0 && tag < least {
			next, least = f, tag
		}
	}
	w := next.queue[0]
	next.queue[0] = nil
	next.queue = next.queue[1:]
	c.queued--
	c.virtual = least
	next.finish = least + w.cost()/next.share
	return w
}

// aheadAt returns the number of requests of the class that start before the one at a position of
// an organisation's queue: the other organisations start theirs in proportion to their shares.
func (c *class) aheadAt(share float64, position int) float64 {
	shares := 0.0
	for _, f := range c.flows {
		if len(f.queue) > 0 {
			shares += f.share
		}
	}
	return math.Min(float64(c.queued), float64(position)*math.Max(1, shares/share))
}

// expected is the time that a request needs once started, corrected by what others took.
func (c *class) expected(stated time.Duration) time.Duration {
	return time.Duration(float64(stated) * c.correction)
}

// learn takes a finished request into the means.
func (c *class) learn(held, expected time.Duration) {
	c.held += time.Duration(learningRate * float64(held-c.held))
	if expected <= 0 {
		return
	}
	ratio := math.Min(maxCorrection, math.Max(minCorrection, float64(held)/float64(expected)))
	c.correction += learningRate * (ratio - c.correction)
}
