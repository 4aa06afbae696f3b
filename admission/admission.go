package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// checkPeriod is how often waiting requests are checked against their deadlines and MaxWait.
const checkPeriod = 20 * time.Millisecond

// The bounds of the retry time of a request that is refused because it is late. The lower one is
// also the retry time of a request to a service without a document in force.
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
	// stateVersion is incremented with each change of an endpoint's state or a member, which may
	// alter the limits.
	stateVersion atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	services map[chicoryhall.ServiceName]*service
	// checkScheduled tells whether checkWaiting is scheduled. It is not while no request waits.
	checkScheduled bool
}

// New returns a Controller whose limits follow the documents, the ready endpoints and the number of
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
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { c.stateVersion.Add(1) })
	members.Subscribe(func(chicoryhall.Member) { c.stateVersion.Add(1) })
	return c
}

// callback calls a query's start or refuse function. It must run without the Controller's lock.
type callback func()

// Acquire calls either start or refuse, exactly once, during the call or later. A query without a
// deadline gets the timeout of its class. A request is refused with a retry time of 0 if neither
// the service's document nor an earlier one that this Controller has used has its class.
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
	w.requestedAt = now
	s, err := c.serviceOf(w.query.Service)
	if err != nil {
		return []callback{func() { w.refuse(minRetryAfter, err.Error()) }}
	}
	if w.class, err = s.classOf(w.query.Class); err != nil {
		return []callback{func() { w.refuse(0, err.Error()) }}
	}
	if w.query.Deadline.IsZero() {
		w.query.Deadline = now.Add(w.class.config.Timeout)
	}
	if lateness := s.lateness(w, s.requestsAheadOf(w), now); lateness > 0 {
		return []callback{c.refusal(w, lateness)}
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

// dispatch starts waiting requests while the limit allows it and refuses those that have become
// late.
func (c *Controller) dispatch(s *service, now time.Time) []callback {
	var callbacks []callback
	for {
		w := s.pop()
		if w == nil {
			return callbacks
		}
		if lateness := s.lateness(w, 0, now); lateness > 0 {
			callbacks = append(callbacks, c.refusal(w, lateness))
			continue
		}
		p := &permit{controller: c, service: s, class: w.class, startedAt: now, statedDuration: w.query.ExpectedDuration}
		s.addRunning(w.class)
		callbacks = append(callbacks, func() { w.start(p) })
	}
}

// refusal returns the callback that refuses a request because of its lateness. The time to retry is
// drawn at random from one to two times the lateness, so that refused callers do not all return at
// once.
func (c *Controller) refusal(w *waitingRequest, lateness time.Duration) callback {
	after := lateness + time.Duration(c.random.Int64N(int64(lateness)+1))
	after = min(maxRetryAfter, max(minRetryAfter, after))
	reason := fmt.Sprintf("admit request: class %q of service %q would end %s behind its deadline",
		w.query.Class, w.query.Service, lateness.Round(time.Millisecond))
	return func() { w.refuse(after, reason) }
}

// checkWaiting refuses waiting requests that have become late, and starts others if a limit has
// grown.
func (c *Controller) checkWaiting(now time.Time) {
	c.mu.Lock()
	c.checkScheduled = false
	var callbacks []callback
	for name, s := range c.services {
		// Without a document in force, the last document and limit stay.
		if current, err := c.serviceOf(name); err == nil {
			s = current
		}
		for _, late := range s.removeLate(now) {
			callbacks = append(callbacks, c.refusal(late.request, late.lateness))
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
	version := c.stateVersion.Load()
	if s.document != inForce.Document || s.limitVersion != version || followsLoad(inForce.Document) {
		s.apply(inForce.Document, concurrencyLimit(inForce.Document, c.endpoints.View, c.daemonCount(), s.running))
		s.limitVersion = version
	}
	return s, nil
}

// followsLoad reports whether a service's limit depends on the free room of its endpoints, which changes
// with every request. Document.MemorySlots needs the mean sizes of requests for it.
func followsLoad(document *chicoryhall.Document) bool {
	hasSlots := func(endpoint chicoryhall.DocumentEndpoint) bool { return endpoint.Slots > 0 }
	return document.Model.MeanPromptTokens+document.Model.MeanAnswerTokens > 0 ||
		document.Kind == chicoryhall.ServicePlain && slices.ContainsFunc(document.Endpoints, hasSlots)
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
