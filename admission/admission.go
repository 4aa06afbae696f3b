package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// checkPeriod is how often waiting requests are checked against their deadlines.
const checkPeriod = 20 * time.Millisecond

// The bounds of the time after which a refused caller should retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Controller implements chicoryhall.Admission for the services that have a document in force. It is
// safe for concurrent use.
type Controller struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	members   chicoryhall.Members
	// changes counts the changes of endpoint states and members, which may alter the limits.
	changes atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	services map[chicoryhall.ServiceName]*service
	// checkScheduled tells whether checkWaiting is scheduled. It is not while no request waits.
	checkScheduled bool
}

// New returns a Controller whose limits follow the documents, the live endpoints and the number of
// daemons that share them.
func New(timer chicoryhall.Timer, documents chicoryhall.Documents, endpoints chicoryhall.Endpoints,
	members chicoryhall.Members,
) *Controller {
	seed := xxhash.Sum64String(string(members.Self().ID))
	c := &Controller{
		timer:     timer,
		documents: documents,
		endpoints: endpoints,
		members:   members,
		random:    rand.New(rand.NewPCG(seed, seed)),
		services:  make(map[chicoryhall.ServiceName]*service),
	}
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { c.changes.Add(1) })
	members.Subscribe(func(chicoryhall.Member) { c.changes.Add(1) })
	return c
}

// callback calls a caller's function once the lock is released.
type callback func()

// Acquire calls either start or refuse, exactly once, during the call or later. A query without a
// deadline gets the timeout of its class.
func (c *Controller) Acquire(query chicoryhall.AdmissionQuery, start func(chicoryhall.Permit),
	refuse func(retryAfter time.Duration, reason string),
) {
	runAll(c.acquire(&waitingRequest{query: query, start: start, refuse: refuse}))
}

// acquire queues a request or refuses it, and returns the resulting callbacks.
func (c *Controller) acquire(w *waitingRequest) []callback {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	w.enteredAt = now
	s, err := c.serviceOf(w.query.Service)
	if err != nil {
		return []callback{func() { w.refuse(minRetryAfter, err.Error()) }}
	}
	if w.class, err = s.classOf(w.query.Class); err != nil {
		return []callback{func() { w.refuse(0, err.Error()) }}
	}
	if w.query.Deadline.IsZero() {
		w.query.Deadline = now.Add(w.class.document.Timeout)
	}
	if late := s.lateness(w, s.ahead(w), now); late > 0 {
		return []callback{c.refusal(w, late)}
	}
	s.push(w)
	callbacks := c.dispatch(s, now)
	c.scheduleCheck(s)
	return callbacks
}

// scheduleCheck schedules a call of checkWaiting if requests of the service wait.
func (c *Controller) scheduleCheck(s *service) {
	if s.queued > 0 && !c.checkScheduled {
		c.checkScheduled = true
		c.timer.After(checkPeriod, c.checkWaiting)
	}
}

// dispatch starts waiting requests while the limit allows it and refuses those that would end after
// their deadlines.
func (c *Controller) dispatch(s *service, now time.Time) []callback {
	var callbacks []callback
	for {
		w := s.pop()
		if w == nil {
			return callbacks
		}
		if late := s.lateness(w, 0, now); late > 0 {
			callbacks = append(callbacks, c.refusal(w, late))
			continue
		}
		p := &permit{controller: c, service: s, class: w.class, startedAt: now, expectedDuration: w.query.ExpectedDuration}
		s.started(w.class)
		callbacks = append(callbacks, func() { w.start(p) })
	}
}

// refusal returns the callback that refuses a request which would end too late by the given time.
// The time to retry is drawn at random from one to two times the lateness, so that refused callers
// do not all return at once.
func (c *Controller) refusal(w *waitingRequest, late time.Duration) callback {
	after := late + time.Duration(c.random.Int64N(int64(late)+1))
	after = min(maxRetryAfter, max(minRetryAfter, after))
	reason := fmt.Sprintf("admit request: class %q of service %q would end %s behind its deadline",
		w.query.Class, w.query.Service, late.Round(time.Millisecond))
	return func() { w.refuse(after, reason) }
}

// checkWaiting refuses waiting requests that can no longer meet their deadlines, and starts others
// if a limit has grown.
func (c *Controller) checkWaiting(now time.Time) {
	c.mu.Lock()
	c.checkScheduled = false
	var callbacks []callback
	for name, s := range c.services {
		if current, err := c.serviceOf(name); err == nil {
			s = current
		}
		for _, w := range s.shed(now) {
			callbacks = append(callbacks, c.refusal(w.waiting, w.late))
		}
		callbacks = append(callbacks, c.dispatch(s, now)...)
		c.scheduleCheck(s)
	}
	c.mu.Unlock()
	runAll(callbacks)
}

// serviceOf returns a service's state after updating its document and limit.
func (c *Controller) serviceOf(name chicoryhall.ServiceName) (*service, error) {
	inForce, ok := c.documents.Current(name)
	if !ok {
		return nil, fmt.Errorf("admit request: service %q has no document in force", name)
	}
	s := c.services[name]
	if s == nil {
		s = newService()
		c.services[name] = s
	}
	changes := c.changes.Load()
	if s.document != inForce.Document || s.appliedChanges != changes || isMemoryBound(inForce.Document) {
		s.apply(inForce.Document, concurrencyLimit(inForce.Document, c.endpoints.View, c.daemonCount(), s.running))
		s.appliedChanges = changes
	}
	return s, nil
}

// isMemoryBound reports whether the limit of a service depends on the free memory of its endpoints,
// which changes with every request.
func isMemoryBound(document *chicoryhall.Document) bool {
	return document.Model.MeanPromptTokens+document.Model.MeanAnswerTokens > 0
}

// daemonCount returns the number of daemons that share the endpoints, including this one.
func (c *Controller) daemonCount() int {
	alive := 1
	for _, member := range c.members.Others() {
		if member.State == chicoryhall.MemberAlive {
			alive++
		}
	}
	return alive
}

// Stats is a snapshot of one service's limit and load.
type Stats struct {
	Service chicoryhall.ServiceName
	Limit   int
	Running int
	Waiting int
}

// Stats returns a snapshot of every service that has had a request.
func (c *Controller) Stats() []Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Stats, 0, len(c.services))
	for name, s := range c.services {
		all = append(all, Stats{Service: name, Limit: s.limit, Running: s.running, Waiting: s.queued})
	}
	return all
}

func runAll(callbacks []callback) {
	for _, call := range callbacks {
		call()
	}
}
