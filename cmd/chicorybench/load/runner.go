package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/client"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// maxInProgress is the maximum number of requests in progress. Further arrivals are dropped.
const maxInProgress = 20_000

// warmUpFraction is the divisor that gives the first part of a run, which is left out of the throughput.
const warmUpFraction = 4

// Sent is a request that was sent, with what the client received.
type Sent struct {
	Traffic  plan.Traffic
	Request  *client.Request
	Exchange *client.Exchange
}

// InjectedFault is a fault with the time at which it was injected.
type InjectedFault struct {
	Fault plan.Fault
	At    time.Time
	// Err says why the fault could not be injected, or is nil.
	Err error
}

// Outcome is the outcome of a run.
type Outcome struct {
	Started  time.Time
	Duration time.Duration
	Sent     []Sent
	Injected []InjectedFault
	// Dropped counts arrivals that were not sent because maxInProgress requests were in progress.
	Dropped int
	// TokensPerSecond is the rate of tokens received while load was sent, without the first quarter of the run.
	TokensPerSecond float64
}

// Runner executes a plan.
type Runner struct {
	plan       *plan.Plan
	kinds      map[chicoryhall.ServiceName]chicoryhall.ServiceKind
	client     *client.Client
	mu         sync.Mutex
	outcome    Outcome
	inProgress int
}

// New returns a Runner. kinds contains the kind of each service in the plan.
func New(p *plan.Plan, kinds map[chicoryhall.ServiceName]chicoryhall.ServiceKind) *Runner {
	return &Runner{plan: p, kinds: kinds}
}

// Run sends the load and injects the faults. It returns when all requests have ended.
func (r *Runner) Run(ctx context.Context) (*Outcome, error) {
	r.outcome.Started = time.Now()
	meter := client.NewMeter(r.outcome.Started, r.plan.Duration)
	r.client = client.New(r.plan.Targets, meter)
	loadCtx, cancel := context.WithTimeout(ctx, r.plan.Duration)
	defer cancel()
	var group errgroup.Group
	for index, traffic := range r.plan.Traffic {
		kind, known := r.kinds[traffic.Service]
		if !known {
			return nil, errors.Errorf("traffic[%d]: no document describes service %q", index, traffic.Service)
		}
		arrivals := newGenerator(r.plan.Seed, index, traffic, kind)
		group.Go(func() error {
			r.send(ctx, loadCtx, arrivals)
			return nil
		})
	}
	group.Go(func() error {
		r.injectFaults(loadCtx)
		return nil
	})
	err := group.Wait()
	r.outcome.TokensPerSecond = meter.Rate(r.plan.Duration/warmUpFraction, r.plan.Duration)
	r.outcome.Duration = time.Since(r.outcome.Started)
	return &r.outcome, err
}

// send sends the arrivals of one generator until loadCtx is done, and then waits until all of its requests have ended.
func (r *Runner) send(ctx, loadCtx context.Context, arrivals *generator) {
	var requests errgroup.Group
	due := time.Now()
	for {
		next := arrivals.next()
		due = due.Add(next.after)
		if !sleepUntil(loadCtx, due) {
			break
		}
		if !r.tryAcquire() {
			continue
		}
		requests.Go(func() error {
			exchange := r.client.Do(ctx, next.request)
			r.release(Sent{Traffic: arrivals.traffic, Request: next.request, Exchange: exchange})
			return nil
		})
	}
	_ = requests.Wait()
}

func (r *Runner) tryAcquire() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inProgress >= maxInProgress {
		r.outcome.Dropped++
		return false
	}
	r.inProgress++
	return true
}

func (r *Runner) release(sent Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress--
	r.outcome.Sent = append(r.outcome.Sent, sent)
}

// injectFaults injects each fault when it is due.
func (r *Runner) injectFaults(ctx context.Context) {
	for _, fault := range r.plan.Faults {
		if !sleepUntil(ctx, r.outcome.Started.Add(fault.At)) {
			return
		}
		at := time.Now()
		err := injectFault(ctx, fault)
		r.mu.Lock()
		r.outcome.Injected = append(r.outcome.Injected, InjectedFault{Fault: fault, At: at, Err: err})
		r.mu.Unlock()
	}
}

// sleepUntil waits until the given time. It returns false if ctx is done before.
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
