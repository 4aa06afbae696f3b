package requests

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/idempotency"
	"chicoryhall.example/chicoryhall/quarantine"
)

// Config holds the settings and dependencies of a Service.
type Config struct {
	Self            chicoryhall.DaemonID
	FailureDomain   chicoryhall.FailureDomain
	Timer           chicoryhall.Timer
	Engines         *engine.Client
	Documents       chicoryhall.Documents
	Endpoints       chicoryhall.Endpoints
	Router          chicoryhall.Router
	Admission       chicoryhall.Admission
	Replicator      chicoryhall.Replicator
	Claims          chicoryhall.Claims
	RateLimits      RateLimits
	IdempotencyKeys IdempotencyKeys
	RetryBudgets    RetryBudgets
	Quarantine      Quarantine
	Log             *event.Logger
	Metrics         *Metrics
	// RemoteRequests gives access to requests that another daemon has taken over, or is nil.
	RemoteRequests chicoryhall.RemoteRequests
}

// IdempotencyKeys makes submissions with the same idempotency key, at whichever daemons, a single
// request.
type IdempotencyKeys interface {
	// Decide returns the request that a key belongs to; the first proposal wins.
	Decide(ctx context.Context, proposal idempotency.Proposal) idempotency.Decision
	// Release frees the key of a request that was not run.
	Release(key idempotency.Key, request chicoryhall.RequestID)
}

// RetryBudgets holds the retry budget of each service.
type RetryBudgets interface {
	// CountSuccess counts a request that was answered; successes earn retries.
	CountSuccess(service chicoryhall.ServiceName)
	// Take takes one retry from the budget. If it returns false, the budget is used up and may
	// allow a retry after retryAfter.
	Take(service chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration)
}

// RateLimits limits the rate of each organisation, summed over all daemons.
type RateLimits interface {
	// Allow reports whether a request may run now. If not, it returns how long to wait before
	// asking again.
	Allow(service chicoryhall.ServiceName, organisation chicoryhall.Organisation, now time.Time) (bool, time.Duration)
}

// Quarantine limits how many endpoints a request can crash. A request is a suspect if an endpoint
// crashed while it ran a request with the same fingerprint (see package quarantine). A suspect is on
// probation: it runs on engines reserved for it until it has run long enough without another crash.
type Quarantine interface {
	// ReservedEngines returns the engines that are reserved for suspects.
	ReservedEngines() []chicoryhall.EndpointID
	// Begin asks, before an attempt, whether a request may run on the stages that need new KV. For a
	// suspect it reserves their engines in place of those reserved before. It calls decided once, at
	// once or on another goroutine.
	Begin(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint, stages []chicoryhall.Hop, decided func(quarantine.Answer))
	// Crashed reports that the connection to a stage broke while the stage ran the request.
	Crashed(fingerprint quarantine.Fingerprint, stage chicoryhall.Hop)
	// Passed reports that a request of a suspect fingerprint has run without another crash.
	Passed(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint)
	// End reports that a request of a suspect fingerprint has ended, not just an attempt, without
	// having passed.
	End(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint)
}

// ErrStopping means that this daemon is shutting down and takes no new requests.
var ErrStopping = errors.New("this daemon is stopping")

// Service runs the requests of one daemon.
type Service struct {
	config          Config
	finishedAnswers *answerCache
	lag             lagMonitor
	background      errgroup.Group
	stopping        atomic.Bool
	// storing counts the outcomes that are being stored in the table.
	storing atomic.Int64

	mu   sync.Mutex
	byID map[chicoryhall.RequestID]*Request
}

// New returns a Service.
func New(config Config) *Service {
	s := &Service{
		config: config,
		byID:   map[chicoryhall.RequestID]*Request{},
	}
	s.finishedAnswers = newAnswerCache(s.forget)
	config.Endpoints.Subscribe(s.endpointChanged)
	return s
}

// Serve drops old answers and measures this daemon's lag until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	tick := s.config.Timer.Every(answerLifetime/expiriesPerLifetime, s.finishedAnswers.expire)
	defer tick.Cancel()
	lagTicks := s.lag.start(s.config.Timer)
	defer lagTicks.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// String returns the name that the supervisor logs.
func (s *Service) String() string { return "requests" }

// InProgress returns the number of requests in progress.
func (s *Service) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, r := range s.byID {
		if !r.ended.Load() {
			count++
		}
	}
	return count
}

// Drain refuses new requests. It returns when all requests in progress have ended and their
// outcomes are stored, or when ctx ends.
func (s *Service) Drain(ctx context.Context) {
	s.stopping.Store(true)
	done := make(chan struct{})
	var once sync.Once
	check := s.config.Timer.Every(drainPollPeriod, func(time.Time) {
		if s.InProgress() == 0 && s.storing.Load() == 0 {
			once.Do(func() { close(done) })
		}
	})
	defer check.Cancel()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// drainPollPeriod is how often Drain checks for requests in progress.
const drainPollPeriod = 20 * time.Millisecond

// endpointChanged tells all requests in progress that the state of an endpoint became EndpointDead
// or EndpointSuspect.
func (s *Service) endpointChanged(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	if state != chicoryhall.EndpointDead && state != chicoryhall.EndpointSuspect {
		return
	}
	for _, r := range s.all() {
		if !r.ended.Load() {
			r.endpointState(id, state)
		}
	}
}

func (s *Service) all() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Request, 0, len(s.byID))
	for _, r := range s.byID {
		all = append(all, r)
	}
	return all
}

func (s *Service) find(id chicoryhall.RequestID, organisation chicoryhall.Organisation) *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil || r.record.Organisation != organisation {
		return nil
	}
	return r
}

// Follow reports the progress of a request from the given position on, until stop is called. It
// returns false if the request is unknown here or belongs to another organisation.
func (s *Service) Follow(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	r := s.find(id, organisation)
	if r == nil {
		return nil, false
	}
	return r.Follow(position, follower), true
}

// Cancel ends a request. It returns false if the request is unknown here or belongs to another
// organisation.
func (s *Service) Cancel(id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	r := s.find(id, organisation)
	if r == nil {
		return false
	}
	r.cancel()
	return true
}

// forget drops a request.
func (s *Service) forget(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, r.record.ID)
}
