package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/quarantine"
)

const (
	// arbiterTimeout bounds one call to the arbiter. After that, this daemon decides by itself.
	arbiterTimeout = 250 * time.Millisecond
	// crashProbeTimeout bounds one probe that distinguishes a crashed endpoint from a broken connection.
	crashProbeTimeout = 50 * time.Millisecond
	// An endpoint is probed crashProbes times with crashProbePause in between, as a crashing endpoint may still respond
	// until its process exits.
	crashProbes     = 3
	crashProbePause = 20 * time.Millisecond
	// noticeTimeout bounds sending one notice and one exchange of convictions.
	noticeTimeout = time.Second
)

// quarantineService implements requests.Quarantine. It queries the arbiter, which is one of the daemons, about
// requests suspected of crashing endpoints, and acts as the arbiter itself if this daemon is chosen.
type quarantineService struct {
	self chicoryhall.DaemonID
	// replica is this daemon's copy of the suspects, convictions and reservations.
	replica   *quarantine.Replica
	timer     chicoryhall.Timer
	members   chicoryhall.Members
	node      *peer.Node
	engines   *engine.Client
	endpoints chicoryhall.Endpoints
	log       *event.Logger
	work      errgroup.Group

	mu      sync.Mutex
	arbiter *quarantine.Arbiter
	// addresses maps endpoints to which a connection broke recently to their addresses, for probing them.
	addresses map[chicoryhall.EndpointID]string
}

// buildQuarantine adds the component that stops requests that crash endpoints.
func (b *builder) buildQuarantine() error {
	service := &quarantineService{
		self: b.settings.ID, replica: quarantine.NewReplica(), timer: b.timer, members: b.members,
		node: b.node, engines: b.engines, endpoints: b.endpoints, log: b.log, arbiter: quarantine.NewArbiter(),
		addresses: make(map[chicoryhall.EndpointID]string),
	}
	peer.Handle(b.node, quarantine.MethodAsk, service.handleQuery)
	peer.Handle(b.node, quarantine.MethodNotice, service.handleNotice)
	peer.Handle(b.node, quarantine.MethodConvicted, service.handleConvictions)
	b.quarantine = service
	b.decisions.Add(service)
	b.decisionMetrics = append(b.decisionMetrics, service.writeMetrics)
	return nil
}

func (s *quarantineService) writeMetrics(w io.Writer) {
	suspects, convicted, reserved := s.replica.Counts(s.timer.Now())
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_suspects", uint64(suspects))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_convicted", uint64(convicted))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_reserved_engines", uint64(reserved))
}

// Serve exchanges convictions with the arbiter periodically until ctx is done.
func (s *quarantineService) Serve(ctx context.Context) error {
	tick := s.timer.Every(quarantine.ExchangePeriod, func(time.Time) { s.exchange(ctx) })
	<-ctx.Done()
	tick.Cancel()
	_ = s.work.Wait()
	return ctx.Err()
}

// String returns the component's name for the supervisor's log lines.
func (s *quarantineService) String() string { return "quarantine" }

// ReservedEngines returns the engines on which suspects run alone.
func (s *quarantineService) ReservedEngines() []chicoryhall.EndpointID {
	return s.replica.ReservedEndpoints(s.timer.Now())
}

// Crashed marks a request as suspect because the connection to a stage broke while the request ran there. Whether the
// engine has crashed is checked by confirmCrashed before the request runs again.
func (s *quarantineService) Crashed(fingerprint quarantine.Fingerprint, stage chicoryhall.Hop) {
	s.mu.Lock()
	s.addresses[stage.Engine] = stage.Address
	s.mu.Unlock()
	s.replica.MarkSuspect(fingerprint, []chicoryhall.EndpointID{stage.Engine}, s.timer.Now())
}

// Begin decides whether a request may run and passes the answer to decided. For a suspect it asks the arbiter, and calls
// decided later from another goroutine. For all others it calls decided before it returns.
func (s *quarantineService) Begin(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint,
	stages []chicoryhall.Hop, decided func(quarantine.Answer),
) {
	switch s.replica.State(fingerprint, s.timer.Now()) {
	case quarantine.StateConvicted:
		decided(quarantine.Answer{Decision: quarantine.DecisionRefuse})
	case quarantine.StateFree:
		decided(quarantine.Answer{Decision: quarantine.DecisionFree})
	case quarantine.StateSuspect:
		s.work.Go(func() error {
			decided(s.reserve(id, fingerprint, stages))
			return nil
		})
	}
}

// reserve asks the arbiter to reserve the engines of the stages for a suspect. If they are reserved, it also checks that
// all of them respond, so that a later crash can be attributed to the suspect.
func (s *quarantineService) reserve(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint,
	stages []chicoryhall.Hop,
) quarantine.Answer {
	broken := s.replica.TakeCrashed(fingerprint)
	crashed := s.confirmCrashed(broken)
	query := quarantine.Query{
		Kind: quarantine.QueryRun, Fingerprint: fingerprint, Request: id,
		Crashed: crashed, Suspect: len(broken) == 0,
	}
	for _, stage := range stages {
		query.Endpoints = append(query.Endpoints, stage.Engine)
	}
	answer := s.queryArbiter(query)
	s.replica.ApplyDecision(fingerprint, answer.Decision, s.timer.Now())
	if answer.Decision != quarantine.DecisionReserved {
		return answer
	}
	s.log.Log(event.SuspectIsolated, "request", id, "crashed", crashed, "engines", query.Endpoints)
	for _, stage := range stages {
		if !s.isReachable(stage) {
			s.End(id, fingerprint)
			return quarantine.Answer{Decision: quarantine.DecisionWait, Busy: []chicoryhall.EndpointID{stage.Engine}}
		}
	}
	return answer
}

// confirmCrashed checks endpoints to which a connection broke, and returns those that also refuse or break new ones, and
// those whose addresses are not known any more.
func (s *quarantineService) confirmCrashed(broken []chicoryhall.EndpointID) []chicoryhall.EndpointID {
	var crashed []chicoryhall.EndpointID
	for _, id := range broken {
		s.mu.Lock()
		address := s.addresses[id]
		delete(s.addresses, id)
		s.mu.Unlock()
		if address == "" || s.isGone(address) {
			crashed = append(crashed, id)
		}
	}
	return crashed
}

// isGone reports whether an endpoint refuses or breaks connections in one of crashProbes probes.
func (s *quarantineService) isGone(address string) bool {
	for probe := range crashProbes {
		if probe > 0 {
			s.pause(crashProbePause)
		}
		if engine.IsGone(s.probe(address)) {
			return true
		}
	}
	return false
}

// pause blocks for the given delay.
func (s *quarantineService) pause(delay time.Duration) {
	elapsed := make(chan struct{})
	s.timer.After(delay, func(time.Time) { close(elapsed) })
	<-elapsed
}

func (s *quarantineService) probe(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return s.engines.Probe(ctx, address)
}

// isReachable probes a stage's engine. If it does not respond, it also reports that to the view of endpoints.
func (s *quarantineService) isReachable(stage chicoryhall.Hop) bool {
	err := s.probe(stage.Address)
	var failure *engine.Error
	if err == nil || (errors.As(err, &failure) && failure.Kind() == engine.FailureStatus) {
		return true
	}
	observation := chicoryhall.ObservedSilence
	if engine.IsGone(err) {
		observation = chicoryhall.ObservedRefusedConnection
	}
	s.endpoints.Observe(stage.Engine, observation)
	return false
}

// Passed clears a suspect that has run without a crash.
func (s *quarantineService) Passed(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint) {
	s.queryAsync(quarantine.Query{Kind: quarantine.QueryPassed, Fingerprint: fingerprint, Request: id})
	s.replica.ApplyDecision(fingerprint, quarantine.DecisionFree, s.timer.Now())
}

// End releases a suspect's reservation.
func (s *quarantineService) End(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint) {
	s.queryAsync(quarantine.Query{Kind: quarantine.QueryEnded, Fingerprint: fingerprint, Request: id})
}

func (s *quarantineService) queryAsync(query quarantine.Query) {
	s.work.Go(func() error {
		s.queryArbiter(query)
		return nil
	})
}

// queryArbiter sends a query to the arbiter, or answers it locally if the arbiter cannot be reached.
func (s *quarantineService) queryArbiter(query quarantine.Query) quarantine.Answer {
	arbiter := quarantine.ArbiterOf(s.members)
	if arbiter == s.self {
		return s.decide(query)
	}
	ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
	defer cancel()
	answer, err := peer.Call[quarantine.Answer](ctx, s.node, arbiter, quarantine.MethodAsk, query)
	if err != nil {
		s.log.Log(event.ArbiterUnreachable, "arbiter", arbiter, "error", err)
		return s.decide(query)
	}
	return answer
}

// decide answers a query as the arbiter and sends the resulting changes to all daemons that are not dead.
func (s *quarantineService) decide(query quarantine.Query) quarantine.Answer {
	s.mu.Lock()
	answer, notice := s.arbiter.Ask(query, s.timer.Now())
	s.mu.Unlock()
	if notice.Empty() {
		return answer
	}
	s.replica.Apply(notice, s.timer.Now())
	for _, member := range s.members.Others() {
		if member.State == chicoryhall.MemberDead {
			continue
		}
		s.work.Go(func() error {
			s.notify(member.ID, notice)
			return nil
		})
	}
	return answer
}

// notify sends a notice to one daemon. If it is lost, the daemon still gets the convictions in the next exchange.
func (s *quarantineService) notify(to chicoryhall.DaemonID, notice quarantine.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_ = peer.Notify(ctx, s.node, to, quarantine.MethodNotice, notice)
}

// exchange sends the known convictions to the arbiter and gets those of the arbiter, so that a daemon that has just started
// learns them.
func (s *quarantineService) exchange(ctx context.Context) {
	arbiter := quarantine.ArbiterOf(s.members)
	if arbiter == s.self {
		return
	}
	s.work.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		defer cancel()
		mine := s.replica.Convictions(s.timer.Now())
		theirs, err := peer.Call[quarantine.Convictions](ctx, s.node, arbiter, quarantine.MethodConvicted, mine)
		if err == nil {
			s.replica.Merge(theirs, s.timer.Now())
		}
		return nil
	})
}

func (s *quarantineService) handleQuery(_ context.Context, _ chicoryhall.DaemonID, query quarantine.Query) (quarantine.Answer, error) {
	return s.decide(query), nil
}

func (s *quarantineService) handleNotice(_ context.Context, _ chicoryhall.DaemonID, notice quarantine.Notice) (struct{}, error) {
	s.replica.Apply(notice, s.timer.Now())
	return struct{}{}, nil
}

// handleConvictions merges another daemon's convictions and returns its own, so that a new arbiter learns them.
func (s *quarantineService) handleConvictions(_ context.Context, _ chicoryhall.DaemonID, theirs quarantine.Convictions) (quarantine.Convictions, error) {
	now := s.timer.Now()
	s.replica.Merge(theirs, now)
	return s.replica.Convictions(now), nil
}
