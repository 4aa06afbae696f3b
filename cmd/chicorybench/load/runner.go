package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/router"
)

// maxInProgress bounds the callers that wait at the same time.
const maxInProgress = 20_000

// warmUpShare is the part of a run, one in so many, that does not count for the throughput.
const warmUpShare = 4

// Sent is one request with what its caller saw.
type Sent struct {
	Traffic  plan.Traffic
	Request  *router.Request
	Exchange *router.Exchange
}

// Struck is a fault with the time at which it was set.
type Struck struct {
	Fault plan.Fault
	At    time.Time
	// Err is why the fault could not be set, or nil.
	Err error
}

// Outcome is all that a run showed.
type Outcome struct {
	Started  time.Time
	Duration time.Duration
	Sent     []Sent
	Struck   []Struck
	// Dropped counts arrivals not sent because too many callers were waiting.
	Dropped int
	// TokensPerSecond is the rate received while load was sent, the first quarter left out.
	TokensPerSecond float64
}

// Runner carries out one plan.
type Runner struct {
	plan    *plan.Plan
	kinds   map[chicoryhall.ServiceName]chicoryhall.ServiceKind
	client  *router.Client
	mu      sync.Mutex
	outcome Outcome
	waiting int
}

// New returns a Runner; kinds tells the kind of each service in the plan.
func New(p *plan.Plan, kinds map[chicoryhall.ServiceName]chicoryhall.ServiceKind) *Runner {
	return &Runner{plan: p, kinds: kinds}
}

// Run sends the load, sets the faults and returns when every caller has its end.
func (r *Runner) Run(ctx context.Context) (*Outcome, error) {
	r.outcome.Started = time.Now()
	meter := router.NewMeter(r.outcome.Started, r.plan.Duration)
	r.client = router.New(r.plan.Targets, meter)
	limited, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var group errgroup.Group
	for index, traffic := range r.plan.Traffic {
		kind, known := r.kinds[traffic.Service]
		if !known {
			return nil, errors.Errorf("traffic[%d]: no document describes service %q", index, traffic.Service)
		}
		drawn := newSource(r.plan.Seed, index, traffic, kind)
		group.Go(func() error {
			r.send(ctx, limited, drawn)
			return nil
		})
	}
	group.Go(func() error {
		r.strike(limited)
		return nil
	})
	err := group.Wait()
	r.outcome.TokensPerSecond = meter.Rate(r.plan.Duration/warmUpShare, r.plan.Duration)
	r.outcome.Duration = time.Since(r.outcome.Started)
	return &r.outcome, err
}

// send makes the arrivals of one source until limited ends, then waits for its callers.
func (r *Runner) send(ctx, limited context.Context, drawn *source) {
	var callers errgroup.Group
	due := time.Now()
	for {
		next := drawn.draw()
		due = due.Add(next.after)
		if !sleepUntil(limited, due) {
			break
		}
		if !r.enter() {
			continue
		}
		callers.Go(func() error {
			exchange := r.client.Do(ctx, next.request)
			r.leave(Sent{Traffic: drawn.traffic, Request: next.request, Exchange: exchange})
			return nil
		})
	}
	_ = callers.Wait()
}

func (r *Runner) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting >= maxInProgress {
		r.outcome.Dropped++
		return false
	}
	r.waiting++
	return true
}

func (r *Runner) leave(sent Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
	r.outcome.Sent = append(r.outcome.Sent, sent)
}

// strike sets each fault when it is due.
func (r *Runner) strike(ctx context.Context) {
	for _, fault := range r.plan.Faults {
		if !sleepUntil(ctx, r.outcome.Started.Add(fault.At)) {
			return
		}
		at := time.Now()
		err := setFault(ctx, fault)
		r.mu.Lock()
		r.outcome.Struck = append(r.outcome.Struck, Struck{Fault: fault, At: at, Err: err})
		r.mu.Unlock()
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.NewTimer(time.Until(due))
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}
