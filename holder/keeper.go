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
	// tickPeriod is how often the State hears the time.
	tickPeriod = 20 * time.Millisecond
	// batchTimeout is when a second holder without an answer is passed over.
	batchTimeout = 50 * time.Millisecond
	// claimTimeout bounds one try to ask a daemon for its agreement.
	claimTimeout = 500 * time.Millisecond
	// pauseLimit is the time without a tick after which this daemon may have been declared dead.
	pauseLimit = 400 * time.Millisecond
)

// Fences tells when this daemon may have been declared dead.
type Fences interface {
	// SubscribeFence calls changed when this daemon must stop or may go on acting as a holder.
	SubscribeFence(changed func(fenced bool))
}

// Config is what a Keeper needs.
type Config struct {
	Node    *peer.Node
	Members chicoryhall.Members
	Fences  Fences
	Timer   chicoryhall.Timer
	Logger  *event.Logger
}

// Keeper runs a State over a peer.Node.
type Keeper struct {
	node    *peer.Node
	timer   chicoryhall.Timer
	logger  *event.Logger
	members chicoryhall.Members
	actions *actionQueue
	relays  *relays

	mu       sync.Mutex
	state    *State
	lastTick time.Time
	group    *errgroup.Group
	ctx      context.Context
	waiting  *waiting
	requests chicoryhall.Requests
}

// Start returns a Keeper that answers peers at once and holds requests while Serve runs.
func Start(config Config) *Keeper {
	k := &Keeper{
		node: config.Node, timer: config.Timer, logger: config.Logger, members: config.Members,
		state: New(config.Members.Self()), lastTick: config.Timer.Now(), waiting: newWaiting(),
	}
	k.actions = newActionQueue(k.carryOut)
	k.relays = newRelays(k)
	peer.Handle(k.node, methodBatch, k.handleBatch)
	peer.Handle(k.node, methodClaims, k.handleClaims)
	k.relays.register()
	config.Members.Subscribe(func(member chicoryhall.Member) {
		k.step(func(s *State, now time.Time) []Action { return s.MemberChanged(member, now) })
		k.relays.memberChanged(member)
	})
	for _, member := range config.Members.All() {
		k.step(func(s *State, now time.Time) []Action { return s.MemberChanged(member, now) })
	}
	config.Fences.SubscribeFence(func(fenced bool) {
		k.step(func(s *State, _ time.Time) []Action {
			if fenced {
				s.Fence()
			}
			return nil
		})
	})
	return k
}

// SetRequests gives the requests that takeovers resume; it is called before Serve.
func (k *Keeper) SetRequests(requests chicoryhall.Requests) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = requests
}

// Serve holds requests until ctx ends.
func (k *Keeper) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	k.mu.Lock()
	k.group, k.ctx = group, ctx
	k.mu.Unlock()
	ticks := k.timer.Every(tickPeriod, func(time.Time) {
		k.step(func(s *State, now time.Time) []Action { return s.Tick(now) })
	})
	<-ctx.Done()
	ticks.Cancel()
	k.mu.Lock()
	k.group = nil
	k.mu.Unlock()
	_ = group.Wait()
	return ctx.Err()
}

// String names the part in the supervisor's reports.
func (k *Keeper) String() string { return "keeper" }

// Accept returns once a daemon on another VM holds the record, or with an error.
func (k *Keeper) Accept(ctx context.Context, record chicoryhall.RequestRecord) error {
	answer := make(chan error, 1)
	k.waiting.accept(record.ID, answer)
	k.step(func(s *State, now time.Time) []Action { return s.Accept(record, now) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		k.step(func(s *State, now time.Time) []Action { return s.GiveUp(record.ID, now) })
		return ctx.Err()
	}
}

// RaiseAttempt raises the attempt at the second holder before its first byte goes out.
func (k *Keeper) RaiseAttempt(ctx context.Context, id chicoryhall.RequestID, attempt int) error {
	answer := make(chan error, 1)
	k.waiting.raise(id, answer)
	k.step(func(s *State, now time.Time) []Action { return s.Attempt(id, attempt, now) })
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AppendTokens hands on tokens from position; release is called when they may reach the caller.
func (k *Keeper) AppendTokens(id chicoryhall.RequestID, position int, tokens []digest.Token, release func(error)) {
	k.waiting.release(id, position+len(tokens), release)
	k.step(func(s *State, now time.Time) []Action { return s.Tokens(id, position, tokens, now) })
}

// Finish records the outcome for later fetches and lets go of the request.
func (k *Keeper) Finish(id chicoryhall.RequestID, outcome chicoryhall.Outcome) {
	k.step(func(s *State, now time.Time) []Action { return s.Finish(id, outcome, now) })
}

// HandOver asks the second holders to go on with all requests held here, and waits until they do.
func (k *Keeper) HandOver(ctx context.Context) {
	k.step(func(s *State, now time.Time) []Action { return s.HandOver(now) })
	done := make(chan struct{})
	var once sync.Once
	check := k.timer.Every(tickPeriod, func(time.Time) {
		if k.heldCount() == 0 {
			once.Do(func() { close(done) })
		}
	})
	defer check.Cancel()
	select {
	case <-done:
	case <-ctx.Done():
		k.log(event.RequestsNotHandedOver, "requests", k.heldCount())
	}
}

func (k *Keeper) heldCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held()
}

// step gives the state one input; its actions are carried out in order, never one inside another.
func (k *Keeper) step(input func(s *State, now time.Time) []Action) {
	k.mu.Lock()
	now := k.timer.Now()
	if now.Sub(k.lastTick) > pauseLimit {
		k.state.Fence()
	}
	k.lastTick = now
	actions := input(k.state, now)
	k.actions.put(actions)
	k.mu.Unlock()
	k.actions.run()
}

func (k *Keeper) carryOut(action Action) {
	switch a := action.(type) {
	case SendBatch:
		k.send(func(ctx context.Context) { k.sendBatch(ctx, a) })
	case SendClaims:
		k.send(func(ctx context.Context) { k.sendClaims(ctx, a) })
	case Accepted:
		k.waiting.accepted(a)
	case Raised:
		k.waiting.raised(a)
	case Released:
		k.waiting.released(a)
	case Resume:
		k.resume(a.Record)
	case Alone:
		k.log(event.RequestHasSingleHolder, "request", a.ID)
	}
}

// send runs one exchange with a peer.
func (k *Keeper) send(exchange func(ctx context.Context)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.group == nil {
		return
	}
	ctx := k.ctx
	k.group.Go(func() error {
		exchange(ctx)
		return nil
	})
}

func (k *Keeper) resume(record chicoryhall.RequestRecord) {
	k.mu.Lock()
	requests := k.requests
	k.mu.Unlock()
	k.log(event.RequestTakenOver, "request", record.ID, "attempt", record.Attempt, "position", len(record.Tokens))
	if requests == nil {
		return
	}
	if err := requests.Resume(record); err != nil {
		k.log(event.RequestNotResumed, "request", record.ID, "error", err)
		k.Finish(record.ID, chicoryhall.Unknown)
	}
}

func (k *Keeper) log(e *event.Event, keyvals ...any) {
	if k.logger != nil {
		k.logger.Log(e, keyvals...)
	}
}
