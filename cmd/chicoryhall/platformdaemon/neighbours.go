package platformdaemon

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/neighbour"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/retry"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/timer"
)

const (
	// syncTimeout bounds one call to a neighbour. It is several times what a call takes, as VMs are slow at times.
	syncTimeout = 400 * time.Millisecond
	// rowsTimeout bounds a neighbour's read of rows.
	rowsTimeout = 500 * time.Millisecond
	// connectTimeout bounds the first call to a neighbour, which many daemons call for the first time at once.
	connectTimeout = 1500 * time.Millisecond
	// startSpread is the time over which the daemons begin to call, each at its own random time.
	startSpread = time.Second
	// maxSyncTries is the number of neighbours that are tried at a time.
	maxSyncTries = 2
	// servingTime is how long a daemon counts as one that others read from after a call of theirs.
	servingTime = 2 * time.Second
	// A neighbour is given up once copies from it have been older than oldShare of their limit for longer than renewalTime, which
	// one needs that has not read for others before.
	oldShare    = 0.8
	renewalTime = 1500 * time.Millisecond
	// reportsMaxAge is 0 as an exchange of reports has to show what was reported before it.
	reportsMaxAge = 0
	// membersMaxAge is short against the time after which a daemon counts as dead.
	membersMaxAge = 3 * time.Second
	// leasesMaxAge is short against the duration of a lease. The write that takes a lease depends on the row's version.
	leasesMaxAge = time.Second
)

// sharedRows are the rows that a daemon asks a neighbour for.
var sharedRows = []neighbour.SharedRows{
	{Prefix: reportPrefix, MaxAge: reportsMaxAge},
	{Prefix: membership.RowPrefix, MaxAge: membersMaxAge},
	{Prefix: placement.LeasePrefix, MaxAge: leasesMaxAge},
}

// endpointObserver knows the requests that this daemon has in flight and the endpoints that fail for it, and learns those of its
// neighbours.
type endpointObserver interface {
	Load() map[chicoryhall.EndpointID]int
	ReportOthers(requests map[chicoryhall.EndpointID]int, daemons int)
	Failures() []chicoryhall.EndpointFailure
	ReportFailures(reported []chicoryhall.EndpointFailure) (heard int, working []chicoryhall.EndpointFailure)
	SubscribeFailures(failed func())
}

// neighboursConfig configures neighbours.
type neighboursConfig struct {
	members   chicoryhall.Members
	timer     chicoryhall.Timer
	store     *neighbour.CachedStore
	copies    *neighbour.Copies
	rows      *neighbour.RowCache
	endpoints endpointObserver
	retries   *retry.SlidingBudgets
	// observeEra is called with the eras of the store that neighbours name.
	observeEra func(int64)
	log        *event.Logger
}

// neighbours exchanges with a neighbour what both know of the store and of the load, and answers the neighbours that ask this
// daemon.
type neighbours struct {
	neighboursConfig
	self     chicoryhall.Member
	loads    *neighbour.Loads
	failures *neighbour.Failures
	// loans lends retries among the daemons that ask this one.
	loans   *retry.Pool
	metrics *metrics.Set
	// due holds a token when a call is to be made.
	due        chan struct{}
	extraCalls neighbour.ExtraCalls
	// lastShort is when an extra call was last planned for want of retries, in Unix nanoseconds.
	lastShort atomic.Int64
	// lastServed is when a neighbour last asked this daemon, in Unix nanoseconds.
	lastServed atomic.Int64

	mu sync.Mutex
	// node makes the calls; it is nil while Serve does not run. source is the neighbour that keeps the copies up to date; its ID
	// is empty if there is none.
	node   *peer.Node
	source chicoryhall.Member
	// working are the endpoints reported by other daemons that work by this daemon's traffic, as it was at workingAt.
	working   []chicoryhall.EndpointFailure
	workingAt time.Time

	// The fields below are only used by Serve. greeted is the neighbour that has answered last, and oldSince since when copies
	// from it are too old, or zero.
	candidates *neighbour.Candidates
	greeted    chicoryhall.DaemonID
	oldSince   time.Time
}

func newNeighbours(config neighboursConfig) *neighbours {
	self := config.members.Self()
	n := &neighbours{
		neighboursConfig: config, self: self, loads: neighbour.NewLoads(), failures: neighbour.NewFailures(),
		loans: retry.NewPool(config.timer.Now()), metrics: metrics.NewSet(),
		due: make(chan struct{}, 1), candidates: neighbour.NewCandidates(self),
	}
	config.endpoints.SubscribeFailures(n.onFailure)
	config.retries.SubscribeShort(n.onShort)
	return n
}

// String returns the name under which the supervisor logs this service.
func (n *neighbours) String() string { return "neighbours" }

// Serve answers neighbours, and asks one of them periodically, until ctx ends.
func (n *neighbours) Serve(ctx context.Context) error {
	node, err := peer.New(peer.Config{Self: n.self.ID, Listen: n.self.NeighbourAddress, Timer: n.timer, Logger: n.log, Metrics: n.metrics})
	if err != nil {
		return err
	}
	peer.Handle(node, neighbour.MethodSync, n.handleSync)
	peer.Handle(node, neighbour.MethodRows, n.handleRows)
	n.setNode(node)
	defer n.setNode(nil)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return node.Serve(ctx) })
	group.Go(func() error { return n.syncUntilDone(ctx, node) })
	return group.Wait()
}

// setNode sets the node that makes the calls. Without one, this daemon follows nobody.
func (n *neighbours) setNode(node *peer.Node) {
	n.mu.Lock()
	n.node = node
	n.mu.Unlock()
	if node == nil {
		n.follow(chicoryhall.Member{})
	}
}

// syncUntilDone asks a neighbour every SyncPeriod, and when an extra call is due, until ctx ends.
func (n *neighbours) syncUntilDone(ctx context.Context, node *peer.Node) error {
	if err := timer.Sleep(ctx, n.timer, randomUpTo(startSpread)); err != nil {
		return err
	}
	ticks := n.timer.Every(neighbour.SyncPeriod, func(time.Time) { signal(n.due) })
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.due:
			n.sync(ctx, node)
		}
	}
}

// sync tells the load of this daemon, and asks neighbours for what is new until one of them knows enough.
func (n *neighbours) sync(ctx context.Context, node *peer.Node) {
	now := n.timer.Now()
	n.store.SetServing(now.Sub(time.Unix(0, n.lastServed.Load())) < servingTime)
	n.loads.Tell(n.self.ID, n.endpoints.Load(), now)
	members := n.members.Others()
	n.candidates.Forget(members)
	for tries := 0; ctx.Err() == nil; tries++ {
		chosen, found := n.candidates.Choose(members, n.timer.Now())
		if !found || tries == maxSyncTries {
			n.follow(chicoryhall.Member{})
			n.endpoints.ReportOthers(n.loads.Others(n.self.ID, now))
			n.applyFailures(n.failures.Others(n.self.ID, now), 0)
			n.exchangeOwnLoans(now)
			return
		}
		if err := n.syncWith(ctx, node, chosen); err == nil {
			n.follow(chosen)
			return
		}
		n.metrics.GetOrCreateCounter(`chicoryhall_neighbour_failures_total`).Inc()
		n.candidates.Failed(chosen.ID, n.timer.Now())
	}
}

// syncWith asks a neighbour. An error means that it has not answered, or that its copies are too old.
func (n *neighbours) syncWith(ctx context.Context, node *peer.Node, chosen chicoryhall.Member) error {
	timeout := syncTimeout
	if n.greeted != chosen.ID {
		timeout = connectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	node.SetAddress(chosen.ID, chosen.NeighbourAddress)
	begun := n.timer.Now()
	request := neighbour.SyncRequest{Key: chosen.PeerKey, Positions: n.positions(), Load: n.endpoints.Load()}
	request.Failures, request.Working = n.ownFailures()
	loans := n.retries.LoanRequest(chosen.ID, begun)
	request.Retries = &loans
	reply, err := peer.Call[neighbour.SyncReply](ctx, node, chosen.ID, neighbour.MethodSync, request)
	if err != nil {
		n.greeted = ""
		return err
	}
	n.greeted = chosen.ID
	n.applyLoans(chosen.ID, reply.Retries, begun)
	var oldest time.Duration
	for name, asked := range request.Positions {
		update, known := reply.Updates[name]
		if !known {
			return errors.Errorf("daemon %s has no copy of table %q", chosen.ID, name)
		}
		n.observeEra(update.Position.Era)
		n.copies.Merge(name, asked, update, begun)
		oldest = max(oldest, time.Duration(update.AgeMillis)*time.Millisecond)
	}
	n.endpoints.ReportOthers(reply.Others, reply.Daemons)
	n.applyFailures(reply.Failures, n.timer.Now().Sub(begun))
	return n.checkAge(chosen.ID, oldest)
}

// positions returns the positions of the copies that this daemon needs.
func (n *neighbours) positions() map[string]chicoryhall.StorePosition {
	positions := make(map[string]chicoryhall.StorePosition)
	for _, name := range platform.FollowedTables() {
		positions[name] = n.copies.Position(name)
	}
	return positions
}

// checkAge returns an error if the oldest of a neighbour's copies has been so old for so long that another one has to be asked. One
// that has failed before gets no time to renew them.
func (n *neighbours) checkAge(source chicoryhall.DaemonID, oldest time.Duration) error {
	now := n.timer.Now()
	switch {
	case oldest <= time.Duration(oldShare*float64(n.store.MaxAge())):
		n.oldSince = time.Time{}
		n.candidates.Succeeded(source)
		return nil
	case n.oldSince.IsZero() && !n.candidates.HasFailed(source):
		n.oldSince = now
		return nil
	case !n.oldSince.IsZero() && now.Sub(n.oldSince) < renewalTime:
		return nil
	default:
		n.oldSince = time.Time{}
		return errors.Errorf("a copy from daemon %s is %s old", source, oldest)
	}
}

// follow sets the neighbour that keeps the copies up to date; one without an ID stands for none.
func (n *neighbours) follow(source chicoryhall.Member) {
	n.mu.Lock()
	changed := n.source.ID != source.ID
	n.source = source
	n.mu.Unlock()
	n.store.SetFollowing(source.ID != "")
	if changed {
		n.log.Log(event.NeighbourChosen, "source", source.ID)
	}
}

// askRows asks the neighbour that this daemon follows for shared rows. It returns false if there is none, or if it does not have
// them in time.
func (n *neighbours) askRows(ctx context.Context, shared neighbour.SharedRows) ([]table.Row, bool) {
	n.mu.Lock()
	node, source := n.node, n.source
	n.mu.Unlock()
	if node == nil || source.ID == "" {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, rowsTimeout)
	defer cancel()
	request := neighbour.RowsRequest{Key: source.PeerKey, Prefix: shared.Prefix, MaxAgeMillis: shared.MaxAge.Milliseconds()}
	reply, err := peer.Call[neighbour.RowsReply](ctx, node, source.ID, neighbour.MethodRows, request)
	return reply.Rows, err == nil
}

// writeMetrics writes whether this daemon follows a neighbour, how many tell it their load, and the ages of its copies.
func (n *neighbours) writeMetrics(w io.Writer) {
	n.metrics.WritePrometheus(w)
	n.writeLoanMetrics(w)
	follows := uint64(0)
	if n.store.IsFollowing() {
		follows = 1
	}
	now := n.timer.Now()
	metrics.WriteGaugeUint64(w, "chicoryhall_neighbour_following", follows)
	metrics.WriteGaugeUint64(w, "chicoryhall_neighbour_daemons", uint64(n.loads.Count(now)))
	for _, name := range platform.FollowedTables() {
		if age, known := n.copies.Age(name, now); known {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("chicoryhall_neighbour_copy_age_seconds{table=%q}", name), age.Seconds())
			metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_neighbour_copy_bytes{table=%q}", name), uint64(n.copies.Bytes(name)))
		}
	}
}
