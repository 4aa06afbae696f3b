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

// Config are the parts that requests need.
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
	// RemoteRequests reaches requests that another daemon has taken over, or is nil.
	RemoteRequests chicoryhall.RemoteRequests
}

// IdempotencyKeys makes an idempotency key that is sent to several daemons one request.
type IdempotencyKeys interface {
	// Decide returns the request that a key names; the first proposal wins.
	Decide(ctx context.Context, proposal idempotency.Proposal) idempotency.Decision
	// Release frees a key whose request was not run.
	Release(key idempotency.Key, request chicoryhall.RequestID)
}

// RetryBudgets is the retry budget of each service.
type RetryBudgets interface {
	// CountSuccess counts a request that was answered.
	CountSuccess(service chicoryhall.ServiceName)
	// Take spends one retry; false means that the budget is spent until retryAfter has passed.
	Take(service chicoryhall.ServiceName) (allowed bool, retryAfter time.Duration)
}

// RateLimits bounds the rate of each organisation over all daemons.
type RateLimits interface {
	// Allow reports whether a request may pass now, or after what time it may.
	Allow(service chicoryhall.ServiceName, organisation chicoryhall.Organisation, now time.Time) (bool, time.Duration)
}

// Quarantine keeps requests that crash endpoints away from them.
type Quarantine interface {
	// ReservedEngines returns the engines on which suspects run alone.
	ReservedEngines() []chicoryhall.EndpointID
	// Begin asks whether a request may run on stages that it has not run on before; decided is
	// called once, at once or on another goroutine.
	Begin(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint, stages []chicoryhall.Hop, decided func(quarantine.Answer))
	// Crashed tells that the connection to a stage broke while the request was on it.
	Crashed(fingerprint quarantine.Fingerprint, stage chicoryhall.Hop)
	// Passed tells that a suspect has run beyond the point of the crash.
	Passed(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint)
	// End tells that a request has ended.
	End(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint)
}

// ErrStopping is the refusal of new requests by a daemon that stops.
var ErrStopping = errors.New("this daemon is stopping")

// Service runs requests.
type Service struct {
	parts    Config
	window   *window
	lag      lag
	work     errgroup.Group
	stopping atomic.Bool
	// storing counts the outcomes that are being stored.
	storing atomic.Int64

	mu   sync.Mutex
	byID map[chicoryhall.RequestID]*Request
}

// New returns a Service.
func New(parts Config) *Service {
	s := &Service{
		parts: parts,
		byID:  map[chicoryhall.RequestID]*Request{},
	}
	s.window = newWindow(s.forget)
	parts.Endpoints.Subscribe(s.endpointChanged)
	return s
}

// Serve evicts old answers until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	tick := s.parts.Timer.Every(windowAge/windowSteps, s.window.expire)
	defer tick.Cancel()
	late := s.lag.watch(s.parts.Timer)
	defer late.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// String names the part in the supervisor's reports.
func (s *Service) String() string { return "requests" }

// InProgress returns the number of requests in progress.
func (s *Service) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := 0
	for _, r := range s.byID {
		if !r.ended.Load() {
			live++
		}
	}
	return live
}

// Drain refuses new requests and waits until those in progress have ended and their outcomes are
// stored, or ctx ends.
func (s *Service) Drain(ctx context.Context) {
	s.stopping.Store(true)
	done := make(chan struct{})
	var once sync.Once
	check := s.parts.Timer.Every(drainPoll, func(time.Time) {
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

// drainPoll is the period at which Drain counts the requests in progress.
const drainPoll = 20 * time.Millisecond

// endpointChanged tells the requests that use an endpoint.
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

// Follow tells follower of a request from position on.
func (s *Service) Follow(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int,
	follower chicoryhall.Follower,
) (stop func(), found bool) {
	r := s.find(id, organisation)
	if r == nil {
		return nil, false
	}
	return r.Follow(position, follower), true
}

// Cancel ends a request.
func (s *Service) Cancel(id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	r := s.find(id, organisation)
	if r == nil {
		return false
	}
	r.cancel()
	return true
}

// forget drops a finished request.
func (s *Service) forget(r *Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, r.record.ID)
}
