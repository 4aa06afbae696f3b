package daemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/limit"
	"chicoryhall.example/chicoryhall/peer"
)

// askTimeout bounds one call for rates.
const askTimeout = 500 * time.Millisecond

// limits asks the peers of the failure domain for the rates that this daemon lacks.
type limits struct {
	limiter *limit.Limiter
	timer   chicoryhall.Timer
	peers   chicoryhall.Peers
	asks    errgroup.Group
}

// buildLimits adds the limits of the organisations.
func (b *builder) buildLimits() error {
	limiter := limit.New(b.documents, b.members)
	peer.Handle(b.node, limit.Method, func(_ context.Context, _ chicoryhall.DaemonID, ask limit.LoanRequest) (limit.Grant, error) {
		return limiter.Lend(ask, b.timer.Now()), nil
	})
	b.limits = limiter
	b.decisions.Add(&limits{limiter: limiter, timer: b.timer, peers: b.node})
	return nil
}

// Serve asks every limit.AskPeriod until ctx ends.
func (l *limits) Serve(ctx context.Context) error {
	tick := l.timer.Every(limit.LoanRequestPeriod, func(now time.Time) { l.ask(ctx, now) })
	<-ctx.Done()
	tick.Cancel()
	_ = l.asks.Wait()
	return ctx.Err()
}

// String names the part in the supervisor's reports.
func (l *limits) String() string { return "limits" }

func (l *limits) ask(ctx context.Context, now time.Time) {
	l.limiter.Tick(now)
	for to, ask := range l.limiter.LoanRequests() {
		l.asks.Go(func() error {
			l.askOne(ctx, to, ask)
			return nil
		})
	}
}

// askOne takes over what a peer lends; a peer that does not answer lends nothing.
func (l *limits) askOne(ctx context.Context, to chicoryhall.DaemonID, ask limit.LoanRequest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := l.timer.Now()
	grant, err := peer.Call[limit.Grant](ctx, l.peers, to, limit.Method, ask)
	if err == nil {
		l.limiter.Receive(grant, asked, l.timer.Now())
	}
}
