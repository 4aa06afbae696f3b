package holder

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	// tickPeriod is the period of State.Tick.
	tickPeriod = 20 * time.Millisecond
	// batchTimeout is the time after which a call with a batch fails; see State.BatchFailed.
	batchTimeout = 50 * time.Millisecond
	// claimTimeout limits one call that asks a daemon to agree to a takeover.
	claimTimeout = 500 * time.Millisecond
	// pauseLimit is the time without any input after which this daemon must assume that it was
	// declared dead; package membership uses the same limit for itself.
	pauseLimit = 400 * time.Millisecond
)

// FenceNotifier tells when this daemon must assume that it was declared dead; see State.Fence.
type FenceNotifier interface {
	// SubscribeFence calls changed with true when the assumption begins to hold, and with false
	// when it ends.
	SubscribeFence(changed func(fenced bool))
}

// Config holds the dependencies of a Replicator.
type Config struct {
	Node          *peer.Node
	Members       chicoryhall.Members
	FenceNotifier FenceNotifier
	Timer         chicoryhall.Timer
	Logger        *event.Logger
}

// Replicator drives a State and exchanges its messages over a peer.Node.
type Replicator struct {
	node        *peer.Node
	timer       chicoryhall.Timer
	logger      *event.Logger
	members     chicoryhall.Members
	actionQueue *actionQueue
	relays      *relays

	mu           sync.Mutex
	state        *State
	lastInput    time.Time
	group        *errgroup.Group
	ctx          context.Context
	pendingCalls *pendingCalls
	requests     chicoryhall.Requests
}

// Start returns a Replicator. It answers peers at once, and sends messages of its own while Serve
// runs.
func Start(config Config) *Replicator {
	rep := &Replicator{
		node: config.Node, timer: config.Timer, logger: config.Logger, members: config.Members,
		state: New(config.Members.Self()), lastInput: config.Timer.Now(), pendingCalls: newPendingCalls(),
	}
	rep.actionQueue = newActionQueue(rep.execute)
	rep.relays = newRelays(rep)
	peer.Handle(rep.node, methodBatch, rep.handleBatch)
	peer.Handle(rep.node, methodClaims, rep.handleClaims)
	rep.relays.registerHandlers()
	config.Members.Subscribe(func(member chicoryhall.Member) {
		rep.step(func(s *State, now time.Time) []Action { return s.MemberChanged(member, now) })
		rep.relays.memberChanged(member)
	})
	for _, member := range config.Members.Others() {
		rep.step(func(s *State, now time.Time) []Action { return s.MemberChanged(member, now) })
	}
	config.FenceNotifier.SubscribeFence(func(fenced bool) {
		rep.step(func(s *State, _ time.Time) []Action {
			if fenced {
				s.Fence()
			}
			return nil
		})
	})
	return rep
}

// SetRequests sets the Requests that followers at other daemons are connected to and that are told
// to resume requests taken over. It must be called before Serve.
func (rep *Replicator) SetRequests(requests chicoryhall.Requests) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.requests = requests
}

// Serve runs until ctx ends.
func (rep *Replicator) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	rep.mu.Lock()
	rep.group, rep.ctx = group, ctx
	rep.mu.Unlock()
	ticks := rep.timer.Every(tickPeriod, func(time.Time) {
		rep.step(func(s *State, now time.Time) []Action { return s.Tick(now) })
	})
	<-ctx.Done()
	ticks.Cancel()
	rep.mu.Lock()
	rep.group = nil
	rep.mu.Unlock()
	_ = group.Wait()
	return ctx.Err()
}

// String returns the name that the supervisor logs; operators know the Replicator as "keeper".
func (rep *Replicator) String() string { return "keeper" }

// Accept returns once a backup has the record, or with an error. If no daemon can be the backup, an
// asynchronous request gets ErrNoBackup, and any other one is accepted without a backup.
func (rep *Replicator) Accept(ctx context.Context, record chicoryhall.RequestRecord) error {
	answer := make(chan error, 1)
	rep.pendingCalls.awaitAccept(record.ID, answer)
	rep.step(func(s *State, now time.Time) []Action { return s.Accept(record, now) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		rep.step(func(s *State, now time.Time) []Action { return s.Abandon(record.ID, now) })
		return ctx.Err()
	}
}

// RaiseAttempt returns once the backup has the new attempt number, at once if there is no backup, or
// with an error.
func (rep *Replicator) RaiseAttempt(ctx context.Context, id chicoryhall.RequestID, attempt int) error {
	answer := make(chan error, 1)
	rep.pendingCalls.awaitRaise(id, answer)
	rep.step(func(s *State, now time.Time) []Action { return s.RaiseAttempt(id, attempt, now) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AppendTokens replicates the tokens that begin at the given position. It calls release once they
// may be sent to the caller, or with an error if another daemon owns the request.
func (rep *Replicator) AppendTokens(id chicoryhall.RequestID, position int, tokens []digest.Token, release func(error)) {
	rep.pendingCalls.awaitRelease(id, position+len(tokens), release)
	rep.step(func(s *State, now time.Time) []Action { return s.AppendTokens(id, position, tokens, now) })
}

// Finish replicates the outcome and ends the ownership of the request.
func (rep *Replicator) Finish(id chicoryhall.RequestID, outcome chicoryhall.Outcome) {
	rep.step(func(s *State, now time.Time) []Action { return s.Finish(id, outcome, now) })
}

// HandOver asks the backups to take over all requests that this daemon owns, and waits until they
// have done so or ctx ends.
func (rep *Replicator) HandOver(ctx context.Context) {
	rep.step(func(s *State, now time.Time) []Action { return s.HandOver(now) })
	done := make(chan struct{})
	var once sync.Once
	check := rep.timer.Every(tickPeriod, func(time.Time) {
		if rep.ownedCount() == 0 {
			once.Do(func() { close(done) })
		}
	})
	defer check.Cancel()
	select {
	case <-done:
	case <-ctx.Done():
		rep.log(event.RequestsNotHandedOver, "requests", rep.ownedCount())
	}
}

func (rep *Replicator) ownedCount() int {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state.OwnedCount()
}

// step gives the State one input and executes the resulting actions, in order and one at a time.
func (rep *Replicator) step(input func(s *State, now time.Time) []Action) {
	rep.mu.Lock()
	now := rep.timer.Now()
	if now.Sub(rep.lastInput) > pauseLimit {
		rep.state.Fence()
	}
	rep.lastInput = now
	actions := input(rep.state, now)
	rep.actionQueue.put(actions)
	rep.mu.Unlock()
	rep.actionQueue.run()
}

func (rep *Replicator) execute(action Action) {
	switch a := action.(type) {
	case SendBatch:
		rep.send(func(ctx context.Context) { rep.sendBatch(ctx, a) })
	case SendClaims:
		rep.send(func(ctx context.Context) { rep.sendClaims(ctx, a) })
	case Accepted:
		rep.pendingCalls.completeAccept(a)
	case AttemptRaised:
		rep.pendingCalls.completeRaise(a)
	case TokensReleased:
		rep.pendingCalls.completeReleases(a)
	case Resume:
		rep.resume(a.Record)
	case NoBackup:
		rep.log(event.RequestHasNoBackup, "request", a.ID)
	}
}

// send runs one exchange with a peer on a goroutine of its own. Before and after Serve it drops the
// exchange, and the State is not told of a failure.
func (rep *Replicator) send(exchange func(ctx context.Context)) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.group == nil {
		return
	}
	ctx := rep.ctx
	rep.group.Go(func() error {
		exchange(ctx)
		return nil
	})
}

func (rep *Replicator) resume(record chicoryhall.RequestRecord) {
	rep.mu.Lock()
	requests := rep.requests
	rep.mu.Unlock()
	rep.log(event.RequestTakenOver, "request", record.ID, "attempt", record.Attempt, "position", len(record.Tokens))
	if requests == nil {
		return
	}
	if err := requests.Resume(record); err != nil {
		rep.log(event.RequestNotResumed, "request", record.ID, "error", err)
		rep.Finish(record.ID, chicoryhall.OutcomeUnknown)
	}
}

func (rep *Replicator) log(e *event.Event, keyvals ...any) {
	if rep.logger != nil {
		rep.logger.Log(e, keyvals...)
	}
}
