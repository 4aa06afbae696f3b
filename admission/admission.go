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

// checkPeriod is how often waiting requests are held against their deadlines.
const checkPeriod = 20 * time.Millisecond

// The bounds of the time after which a refused caller shall come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Admission is a chicoryhall.Admission over the services' documents in force; it is safe for
// concurrent use.
type Admission struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	endpoints chicoryhall.Endpoints
	members   chicoryhall.Members
	// changes counts what may alter a limit: endpoints' states and members.
	changes atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	services map[chicoryhall.ServiceName]*service
	// checking tells that a look at waiting requests is due; there is none while nothing waits.
	checking bool
}

// New returns an Admission whose limits follow the documents, the live endpoints and the
// number of daemons that share them.
func New(timer chicoryhall.Timer, documents chicoryhall.Documents, endpoints chicoryhall.Endpoints,
	members chicoryhall.Members,
) *Admission {
	seed := xxhash.Sum64String(string(members.Self().ID))
	a := &Admission{
		timer:     timer,
		documents: documents,
		endpoints: endpoints,
		members:   members,
		random:    rand.New(rand.NewPCG(seed, seed)),
		services:  make(map[chicoryhall.ServiceName]*service),
	}
	endpoints.Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState) { a.changes.Add(1) })
	members.Subscribe(func(chicoryhall.Member) { a.changes.Add(1) })
	return a
}

// action is a callback that runs once the lock is released.
type action func()

// Acquire calls start at once or later, or refuse, once.
func (a *Admission) Acquire(query chicoryhall.AdmissionQuery, start func(chicoryhall.Permit),
	refuse func(retryAfter time.Duration, reason string),
) {
	run(a.enter(&waiting{query: query, start: start, refuse: refuse}))
}

// enter queues a request and returns what follows from it.
func (a *Admission) enter(w *waiting) []action {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.timer.Now()
	w.entered = now
	s, err := a.serviceOf(w.query.Service)
	if err != nil {
		return []action{func() { w.refuse(minRetryAfter, err.Error()) }}
	}
	if w.class, err = s.classOf(w.query.Class); err != nil {
		return []action{func() { w.refuse(0, err.Error()) }}
	}
	if w.query.Deadline.IsZero() {
		w.query.Deadline = now.Add(w.class.document.Timeout)
	}
	if late := s.lateness(w, s.ahead(w), now); late > 0 {
		return []action{a.refusal(w, late)}
	}
	s.push(w)
	actions := a.dispatch(s, now)
	a.scheduleCheck(s)
	return actions
}

// scheduleCheck makes the waiting requests be looked at soon.
func (a *Admission) scheduleCheck(s *service) {
	if s.queued > 0 && !a.checking {
		a.checking = true
		a.timer.After(checkPeriod, a.check)
	}
}

// dispatch starts waiting requests while places are free.
func (a *Admission) dispatch(s *service, now time.Time) []action {
	var actions []action
	for {
		w := s.pop()
		if w == nil {
			return actions
		}
		if late := s.lateness(w, 0, now); late > 0 {
			actions = append(actions, a.refusal(w, late))
			continue
		}
		p := &permit{admission: a, service: s, class: w.class, started: now, expected: w.query.ExpectedDuration}
		s.started(w.class)
		actions = append(actions, func() { w.start(p) })
	}
}

// refusal returns the callback that refuses a request which is late by the given time. The time
// to come back is drawn at random up to twice the lateness, so that callers do not return together.
func (a *Admission) refusal(w *waiting, late time.Duration) action {
	after := late + time.Duration(a.random.Int64N(int64(late)+1))
	after = min(maxRetryAfter, max(minRetryAfter, after))
	reason := fmt.Sprintf("admit request: class %q of service %q would end %s behind its deadline",
		w.query.Class, w.query.Service, late.Round(time.Millisecond))
	return func() { w.refuse(after, reason) }
}

// check refuses waiting requests that cannot meet their deadlines any more and starts others
// when a limit has grown.
func (a *Admission) check(now time.Time) {
	a.mu.Lock()
	a.checking = false
	var actions []action
	for name, s := range a.services {
		if current, err := a.serviceOf(name); err == nil {
			s = current
		}
		for _, w := range s.shed(now) {
			actions = append(actions, a.refusal(w.waiting, w.late))
		}
		actions = append(actions, a.dispatch(s, now)...)
		a.scheduleCheck(s)
	}
	a.mu.Unlock()
	run(actions)
}

// serviceOf returns a service's state with its limit as of now.
func (a *Admission) serviceOf(name chicoryhall.ServiceName) (*service, error) {
	inForce, ok := a.documents.Current(name)
	if !ok {
		return nil, fmt.Errorf("admit request: service %q has no document in force", name)
	}
	s := a.services[name]
	if s == nil {
		s = newService()
		a.services[name] = s
	}
	changes := a.changes.Load()
	if s.document != inForce.Document || s.changes != changes || isBoundByMemory(inForce.Document) {
		s.apply(inForce.Document, concurrencyLimit(inForce.Document, a.endpoints.View, a.daemons(), s.running))
		s.changes = changes
	}
	return s, nil
}

// isBoundByMemory tells whether a service's limit follows the room in its engines' memory, which
// changes with every request.
func isBoundByMemory(document *chicoryhall.Document) bool {
	return document.Model.MeanPromptTokens+document.Model.MeanAnswerTokens > 0
}

// daemons returns the number of daemons that share the endpoints, this one included.
func (a *Admission) daemons() int {
	alive := 1
	for _, member := range a.members.All() {
		if member.State == chicoryhall.MemberAlive {
			alive++
		}
	}
	return alive
}

// Stats is what one service does at one moment.
type Stats struct {
	Service chicoryhall.ServiceName
	Limit   int
	Running int
	Waiting int
}

// Stats returns the figures of every service that has had a request.
func (a *Admission) Stats() []Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]Stats, 0, len(a.services))
	for name, s := range a.services {
		all = append(all, Stats{Service: name, Limit: s.limit, Running: s.running, Waiting: s.queued})
	}
	return all
}

func run(actions []action) {
	for _, call := range actions {
		call()
	}
}
