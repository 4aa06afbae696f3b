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
	// arbiterTimeout bounds one call to the arbiter; then this daemon decides by itself.
	arbiterTimeout = 250 * time.Millisecond
	// crashProbeTimeout bounds the probe that tells a crashed endpoint from a broken connection.
	crashProbeTimeout = 50 * time.Millisecond
	// crashProbes and crashProbePause: an endpoint that crashes may answer until its process ends.
	crashProbes     = 3
	crashProbePause = 20 * time.Millisecond
	// noticeTimeout bounds the sending of one notice.
	noticeTimeout = time.Second
)

// quarantineDesk is a requests.Quarantine: it asks the arbiter for suspects and spreads its
// notices when this daemon is the arbiter.
type quarantineDesk struct {
	self      chicoryhall.DaemonID
	guard     *quarantine.Replica
	timer     chicoryhall.Timer
	members   chicoryhall.Members
	node      *peer.Node
	engines   *engine.Client
	endpoints chicoryhall.Endpoints
	log       *event.Logger
	work      errgroup.Group

	mu      sync.Mutex
	arbiter *quarantine.Arbiter
	// addresses are those of the endpoints that have crashed lately.
	addresses map[chicoryhall.EndpointID]string
}

// buildQuarantine adds what keeps requests that crash endpoints away from them.
func (b *builder) buildQuarantine() error {
	desk := &quarantineDesk{
		self: b.settings.ID, guard: quarantine.NewReplica(), timer: b.timer, members: b.members,
		node: b.node, engines: b.engines, endpoints: b.endpoints, log: b.log, arbiter: quarantine.NewArbiter(),
		addresses: make(map[chicoryhall.EndpointID]string),
	}
	peer.Handle(b.node, quarantine.MethodAsk, desk.handleAsk)
	peer.Handle(b.node, quarantine.MethodNotice, desk.handleNotice)
	peer.Handle(b.node, quarantine.MethodConvicted, desk.handleConvicted)
	b.quarantine = desk
	b.decisions.Add(desk)
	b.decisionMetrics = append(b.decisionMetrics, desk.writeMetrics)
	return nil
}

func (d *quarantineDesk) writeMetrics(w io.Writer) {
	suspects, convicted, reserved := d.guard.Counts(d.timer.Now())
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_suspects", uint64(suspects))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_convicted", uint64(convicted))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_reserved_engines", uint64(reserved))
}

// Serve learns of convictions from the arbiter until ctx ends.
func (d *quarantineDesk) Serve(ctx context.Context) error {
	tick := d.timer.Every(quarantine.ExchangePeriod, func(time.Time) { d.learn(ctx) })
	<-ctx.Done()
	tick.Cancel()
	_ = d.work.Wait()
	return ctx.Err()
}

// String names the part in the supervisor's reports.
func (d *quarantineDesk) String() string { return "quarantine" }

// Avoid returns the engines on which suspects run alone.
func (d *quarantineDesk) Avoid() []chicoryhall.EndpointID {
	return d.guard.ReservedEndpoints(d.timer.Now())
}

// Crashed takes in that the connection to a stage broke.
func (d *quarantineDesk) Crashed(fingerprint quarantine.Fingerprint, stage chicoryhall.Hop) {
	d.mu.Lock()
	d.addresses[stage.Engine] = stage.Address
	d.mu.Unlock()
	d.guard.MarkSuspect(fingerprint, []chicoryhall.EndpointID{stage.Engine}, d.timer.Now())
}

// Begin decides at once for a request that is not under suspicion, and asks the arbiter otherwise.
func (d *quarantineDesk) Begin(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint,
	stages []chicoryhall.Hop, decided func(quarantine.Answer),
) {
	switch d.guard.State(fingerprint, d.timer.Now()) {
	case quarantine.StateConvicted:
		decided(quarantine.Answer{Decision: quarantine.DecisionRefuse})
	case quarantine.StateFree:
		decided(quarantine.Answer{Decision: quarantine.DecisionFree})
	case quarantine.StateSuspect:
		d.work.Go(func() error {
			decided(d.askToRun(id, fingerprint, stages))
			return nil
		})
	}
}

// askToRun asks for a reservation and makes sure that the reserved engines live, so that a crash
// from now on is the suspect's work.
func (d *quarantineDesk) askToRun(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint,
	stages []chicoryhall.Hop,
) quarantine.Answer {
	broken := d.guard.TakeCrashed(fingerprint)
	crashed := d.reallyCrashed(broken)
	ask := quarantine.Query{
		Kind: quarantine.QueryRun, Fingerprint: fingerprint, Request: id,
		Crashed: crashed, Suspect: len(broken) == 0,
	}
	for _, stage := range stages {
		ask.Endpoints = append(ask.Endpoints, stage.Engine)
	}
	answer := d.ask(ask)
	d.guard.ApplyDecision(fingerprint, answer.Decision, d.timer.Now())
	if answer.Decision != quarantine.DecisionReserved {
		return answer
	}
	d.log.Log(event.SuspectIsolated, "request", id, "crashed", crashed, "engines", ask.Endpoints)
	for _, stage := range stages {
		if !d.answers(stage) {
			d.End(id, fingerprint)
			return quarantine.Answer{Decision: quarantine.DecisionWait, Busy: []chicoryhall.EndpointID{stage.Engine}}
		}
	}
	return answer
}

// reallyCrashed returns the endpoints that refuse or break new connections.
func (d *quarantineDesk) reallyCrashed(broken []chicoryhall.EndpointID) []chicoryhall.EndpointID {
	var crashed []chicoryhall.EndpointID
	for _, id := range broken {
		d.mu.Lock()
		address := d.addresses[id]
		delete(d.addresses, id)
		d.mu.Unlock()
		if address == "" || d.isGone(address) {
			crashed = append(crashed, id)
		}
	}
	return crashed
}

// isGone probes an endpoint a few times until it is gone.
func (d *quarantineDesk) isGone(address string) bool {
	for try := range crashProbes {
		if try > 0 {
			d.pause(crashProbePause)
		}
		if engine.IsGone(d.probe(address)) {
			return true
		}
	}
	return false
}

// pause waits for a delay of the timer.
func (d *quarantineDesk) pause(delay time.Duration) {
	passed := make(chan struct{})
	d.timer.After(delay, func(time.Time) { close(passed) })
	<-passed
}

func (d *quarantineDesk) probe(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return d.engines.Probe(ctx, address)
}

// answers reports whether a stage's engine lives, and tells the view of endpoints if it does not.
func (d *quarantineDesk) answers(stage chicoryhall.Hop) bool {
	err := d.probe(stage.Address)
	var failure *engine.Error
	if err == nil || (errors.As(err, &failure) && failure.Kind() == engine.FailureStatus) {
		return true
	}
	observed := chicoryhall.ObservedSilence
	if engine.IsGone(err) {
		observed = chicoryhall.ObservedRefusedConnection
	}
	d.endpoints.Observe(stage.Engine, observed)
	return false
}

// Passed clears a suspect.
func (d *quarantineDesk) Passed(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint) {
	d.tell(quarantine.Query{Kind: quarantine.QueryPassed, Fingerprint: fingerprint, Request: id})
	d.guard.ApplyDecision(fingerprint, quarantine.DecisionFree, d.timer.Now())
}

// End gives a suspect's reservation back.
func (d *quarantineDesk) End(id chicoryhall.RequestID, fingerprint quarantine.Fingerprint) {
	d.tell(quarantine.Query{Kind: quarantine.QueryEnded, Fingerprint: fingerprint, Request: id})
}

func (d *quarantineDesk) tell(ask quarantine.Query) {
	d.work.Go(func() error {
		d.ask(ask)
		return nil
	})
}

// ask asks the arbiter, or decides here when it is out of reach.
func (d *quarantineDesk) ask(ask quarantine.Query) quarantine.Answer {
	arbiter := quarantine.ArbiterOf(d.members)
	if arbiter == d.self {
		return d.decide(ask)
	}
	ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
	defer cancel()
	answer, err := peer.Call[quarantine.Answer](ctx, d.node, arbiter, quarantine.MethodAsk, ask)
	if err != nil {
		d.log.Log(event.ArbiterUnreachable, "arbiter", arbiter, "error", err)
		return d.decide(ask)
	}
	return answer
}

// decide answers as the arbiter and spreads what has changed.
func (d *quarantineDesk) decide(ask quarantine.Query) quarantine.Answer {
	d.mu.Lock()
	answer, notice := d.arbiter.Ask(ask, d.timer.Now())
	d.mu.Unlock()
	if notice.Empty() {
		return answer
	}
	d.guard.Apply(notice, d.timer.Now())
	for _, member := range d.members.All() {
		if member.State == chicoryhall.MemberDead {
			continue
		}
		d.work.Go(func() error {
			d.notify(member.ID, notice)
			return nil
		})
	}
	return answer
}

// notify sends a notice to one daemon; one that misses it learns of convictions later.
func (d *quarantineDesk) notify(to chicoryhall.DaemonID, notice quarantine.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	_ = peer.Notify(ctx, d.node, to, quarantine.MethodNotice, notice)
}

// learn asks the arbiter for the convictions, so that a daemon that has just started knows them.
func (d *quarantineDesk) learn(ctx context.Context) {
	arbiter := quarantine.ArbiterOf(d.members)
	if arbiter == d.self {
		return
	}
	d.work.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		defer cancel()
		mine := d.guard.Convictions(d.timer.Now())
		theirs, err := peer.Call[quarantine.Convictions](ctx, d.node, arbiter, quarantine.MethodConvicted, mine)
		if err == nil {
			d.guard.Merge(theirs, d.timer.Now())
		}
		return nil
	})
}

func (d *quarantineDesk) handleAsk(_ context.Context, _ chicoryhall.DaemonID, ask quarantine.Query) (quarantine.Answer, error) {
	return d.decide(ask), nil
}

func (d *quarantineDesk) handleNotice(_ context.Context, _ chicoryhall.DaemonID, notice quarantine.Notice) (struct{}, error) {
	d.guard.Apply(notice, d.timer.Now())
	return struct{}{}, nil
}

// handleConvicted exchanges convictions, so that a new arbiter learns them from the others.
func (d *quarantineDesk) handleConvicted(_ context.Context, _ chicoryhall.DaemonID, theirs quarantine.Convictions) (quarantine.Convictions, error) {
	now := d.timer.Now()
	d.guard.Merge(theirs, now)
	return d.guard.Convictions(now), nil
}
