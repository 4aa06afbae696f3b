package modelengine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/fetch"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/stage"
	"chicoryhall.example/chicoryhall/event"
)

// Engine is one simulated engine.
type Engine struct {
	settings Settings
	timer    chicoryhall.Timer
	log      *event.Logger
	server   *serve.Server
	connPool *stage.ConnPool
	client   *fetch.Client
	started  time.Time
	tasks    chan func(context.Context)

	// mu protects the fields below. Most code holds it because it is called through do or every.
	mu              sync.Mutex
	frozen          bool
	backlog         []func() // calls of do while frozen
	faults          Faults
	random          *rand.Rand
	holdings        []chicoryhall.LayerRange
	loadsInProgress int
	leaving         bool
	fence           int64 // the highest fencing number received
	orderCount      int64
	attempts        attempts
	states          map[stateKey]*stageState
	drivers         map[chicoryhall.RequestID]*driver
	sequence        uint64 // number of streams opened
	batch           batch
	cache           cache
	reports         []chicoryhall.LoadReport // oldest first; the first one is served
	ledger          ledger
}

// New returns an Engine. Start makes it listen.
func New(settings Settings, timer chicoryhall.Timer, log *event.Logger) (*Engine, error) {
	client, err := fetch.New()
	if err != nil {
		return nil, err
	}
	e := &Engine{
		client:   client,
		settings: settings,
		timer:    timer,
		log:      log,
		started:  timer.Now(),
		tasks:    make(chan func(context.Context), maxTasks),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		attempts: newAttempts(),
		states:   map[stateKey]*stageState{},
		drivers:  map[chicoryhall.RequestID]*driver{},
		cache:    newCache(),
		ledger:   newLedger(),
	}
	e.server = serve.New(settings.Listen, func(x *serve.Exchange) { e.do(func() { e.route(x) }) })
	e.connPool = stage.NewConnPool(timer, e)
	return e, nil
}

// Start starts listening.
func (e *Engine) Start() error {
	if err := e.connPool.Start(); err != nil {
		return err
	}
	if err := e.server.Start(); err != nil {
		return err
	}
	e.do(func() {
		e.setHoldings(e.initialHoldings())
		e.report()
	})
	if e.settings.VMList != "" {
		e.startTask(e.register)
	}
	e.timer.Every(max(e.settings.ReportLag/reportsPerLag, minReportPeriod), e.every(e.report))
	e.timer.Every(waitCheckPeriod, e.every(e.checkWaiting))
	e.timer.Every(expiryPeriod, e.every(e.expire))
	e.log.Log(event.StandinServing, "engine", string(e.settings.ID), "address", e.server.Address())
	return nil
}

// Address returns the IP:PORT on which the engine listens.
func (e *Engine) Address() string { return e.server.Address() }

// Stop closes all connections.
func (e *Engine) Stop() {
	e.server.Stop()
	e.connPool.Stop()
	e.client.Stop()
}

// do runs calls one at a time. While the engine is frozen, it queues them.
func (e *Engine) do(call func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen {
		e.backlog = append(e.backlog, call)
		return
	}
	call()
}

// every adapts a call to Timer.Every. The call is skipped while the engine is frozen.
func (e *Engine) every(call func()) func(time.Time) {
	return func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.frozen {
			call()
		}
	}
}

// after runs call through do after delay.
func (e *Engine) after(delay time.Duration, call func()) chicoryhall.Subscription {
	return e.timer.After(delay, func(time.Time) { e.do(call) })
}

// Serve runs the engine's tasks until ctx is done.
func (e *Engine) Serve(ctx context.Context) error {
	return runTasks(ctx, e.tasks)
}

// Drain makes the engine refuse new streams and returns when no stream is running or ctx is done.
func (e *Engine) Drain(ctx context.Context) {
	e.do(func() { e.leaving = true })
	for ctx.Err() == nil && e.activeStreams() > 0 {
		elapsed := make(chan struct{})
		e.timer.After(drainCheckPeriod, func(time.Time) { close(elapsed) })
		<-elapsed
	}
}

func (e *Engine) activeStreams() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for _, state := range e.states {
		if state.active {
			count++
		}
	}
	return count
}
