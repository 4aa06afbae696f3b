package holder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	// findTimeout bounds one question for a request.
	findTimeout = 500 * time.Millisecond
	// searchPeriod is the time between two searches for a request whose home was lost.
	searchPeriod = 100 * time.Millisecond
	// searchTimeout is when a lost request is given up for the caller that follows it here.
	searchTimeout = 15 * time.Second
	// reasonLost is the reason of a result when nobody was found to hold a request.
	reasonLost = "holder"
	// reasonReplaced is the reason with which a replaced home ends a request.
	reasonReplaced = "replaced"
)

// relays follow requests at other daemons for callers of this one.
type relays struct {
	keeper *Replicator

	mu   sync.Mutex
	last uint64
	open map[uint64]*relay
}

// relay is one request that this daemon follows elsewhere.
type relay struct {
	number       uint64
	id           chicoryhall.RequestID
	organisation chicoryhall.Organisation
	follower     chicoryhall.Follower
	stopped      atomic.Bool

	// mu orders the follower's calls; stop must not take it.
	mu       sync.Mutex
	try      int
	position int
	accepted bool
	via      chicoryhall.DaemonID
	lostAt   time.Time
}

func newRelays(k *Replicator) *relays {
	return &relays{keeper: k, open: map[uint64]*relay{}}
}

// Follow asks the daemon that holds the request; false means that none is known to hold it.
func (k *Replicator) Follow(ctx context.Context, id chicoryhall.RequestID, organisation chicoryhall.Organisation,
	position int, follower chicoryhall.Follower,
) (stop func(), found bool) {
	if k.tellFinished(id, organisation, position, follower) {
		return func() {}, true
	}
	r := k.relays.add(id, organisation, position, follower)
	if !k.relays.search(ctx, r) {
		k.relays.remove(r)
		return nil, false
	}
	return func() { k.relays.stop(r) }, true
}

// Cancel asks the daemon that holds the request; false means that none is known to hold it.
func (k *Replicator) Cancel(ctx context.Context, id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	_, here := k.ask(ctx, id, func(ctx context.Context, at chicoryhall.DaemonID) (followAnswer, error) {
		return peer.Call[followAnswer](ctx, k.node, at, methodCancel, cancelRequest{ID: id, Organisation: organisation})
	})
	return here == LocationHere
}

// ask puts a question to the daemons that may know of a request until one of them has it.
func (k *Replicator) ask(ctx context.Context, id chicoryhall.RequestID,
	question func(context.Context, chicoryhall.DaemonID) (followAnswer, error),
) (chicoryhall.DaemonID, Location) {
	places := placesToAsk(id, k.node.Self(), k.members.All())
	if finding, home := k.find(id); finding == LocationMoved {
		places = append([]chicoryhall.DaemonID{home}, places...)
	}
	best := LocationUnknown
	for i := 0; i < len(places) && i < maxFindTries; i++ {
		if slices.Contains(places[:i], places[i]) || places[i] == k.node.Self() {
			continue
		}
		answer, err := k.askOne(ctx, places[i], question)
		switch {
		case err != nil:
		case answer.Finding == LocationHere:
			return places[i], LocationHere
		case answer.Finding == LocationPending:
			best = LocationPending
		case answer.Finding == LocationMoved:
			places = slices.Insert(places, i+1, answer.Home)
		}
	}
	return "", best
}

func (k *Replicator) askOne(ctx context.Context, at chicoryhall.DaemonID,
	question func(context.Context, chicoryhall.DaemonID) (followAnswer, error),
) (followAnswer, error) {
	ctx, cancel := peer.WithTimeout(ctx, k.timer, findTimeout)
	defer cancel()
	return question(ctx, at)
}

func (k *Replicator) find(id chicoryhall.RequestID) (Location, chicoryhall.DaemonID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Locate(id)
}

func (rs *relays) add(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int, follower chicoryhall.Follower) *relay {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.last++
	r := &relay{number: rs.last, id: id, organisation: organisation, position: position, follower: follower}
	rs.open[r.number] = r
	return r
}

func (rs *relays) remove(r *relay) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.open, r.number)
}

// stop ends a relay at both daemons.
func (rs *relays) stop(r *relay) {
	if r.stopped.Swap(true) {
		return
	}
	rs.remove(r)
}

// search asks where the request is and follows it there; false means that nobody knows it.
func (rs *relays) search(ctx context.Context, r *relay) bool {
	r.mu.Lock()
	r.try++
	request := followRequest{
		Relay: relayName{Number: r.number, Try: r.try}, ID: r.id, Organisation: r.organisation, Position: r.position,
	}
	r.via = ""
	r.mu.Unlock()
	via, finding := rs.keeper.ask(ctx, r.id, func(ctx context.Context, at chicoryhall.DaemonID) (followAnswer, error) {
		return peer.Call[followAnswer](ctx, rs.keeper.node, at, methodFollow, request)
	})
	if finding == LocationPending {
		rs.searchLater(r)
	}
	if finding == LocationHere {
		rs.found(r, request.Relay.Try, via)
	}
	return finding != LocationUnknown
}

// found notes where a request is followed.
func (rs *relays) found(r *relay, try int, via chicoryhall.DaemonID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.try == try {
		r.via = via
		r.lostAt = time.Time{}
	}
}

// lost looks again for a request whose daemon ended.
func (rs *relays) lost(r *relay) {
	now := rs.keeper.timer.Now()
	r.mu.Lock()
	if r.lostAt.IsZero() {
		r.lostAt = now
	}
	r.try++ // Events of the lost daemon count no more.
	r.position = 0
	r.via = ""
	expired := now.Sub(r.lostAt) > searchTimeout
	r.mu.Unlock()
	if expired {
		rs.giveUp(r)
		return
	}
	rs.searchLater(r)
}

func (rs *relays) searchLater(r *relay) {
	rs.keeper.timer.After(searchPeriod, func(time.Time) {
		if r.stopped.Load() {
			return
		}
		rs.keeper.send(func(ctx context.Context) { rs.searchAgain(ctx, r) })
	})
}

func (rs *relays) searchAgain(ctx context.Context, r *relay) {
	if rs.keeper.followHere(r) {
		rs.remove(r)
		return
	}
	if !rs.search(ctx, r) {
		rs.lost(r)
	}
}

// followHere follows the request at this daemon when it has become the home.
func (k *Replicator) followHere(r *relay) bool {
	k.mu.Lock()
	requests := k.requests
	k.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.tellFinished(r.id, r.organisation, r.position, r.follower) {
		return true
	}
	if requests == nil {
		return false
	}
	_, found := requests.Follow(r.id, r.organisation, r.position, r.follower)
	return found
}

// giveUp tells the caller that the outcome of its request is not known.
func (rs *relays) giveUp(r *relay) {
	rs.keeper.log(event.HolderNotFound, "request", r.id)
	rs.finish(r, chicoryhall.Result{Outcome: chicoryhall.Unknown, Reason: reasonLost, RetryAfter: time.Second})
}

func (rs *relays) finish(r *relay, result chicoryhall.Result) {
	rs.remove(r)
	if !r.stopped.Swap(true) {
		r.follower.OnFinish(result)
	}
}

// memberChanged looks again for the requests followed at a daemon that ended.
func (rs *relays) memberChanged(member chicoryhall.Member) {
	if member.State != chicoryhall.MemberDead {
		return
	}
	for _, r := range rs.all() {
		r.mu.Lock()
		gone := r.via == member.ID
		r.mu.Unlock()
		if gone {
			rs.lost(r)
		}
	}
}

func (rs *relays) all() []*relay {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	all := make([]*relay, 0, len(rs.open))
	for _, r := range rs.open {
		all = append(all, r)
	}
	return all
}

// handleEvents hands relayed events to the follower.
func (rs *relays) handleEvents(_ context.Context, _ chicoryhall.DaemonID, events relayEvents) (relayAnswer, error) {
	rs.mu.Lock()
	r, ok := rs.open[events.Relay.Number]
	rs.mu.Unlock()
	if !ok || r.stopped.Load() {
		return relayAnswer{}, nil
	}
	r.mu.Lock()
	current := events.Relay.Try == r.try
	var result *chicoryhall.Result
	if current {
		result = r.take(events.Events)
	}
	r.mu.Unlock()
	switch {
	case result == nil:
	case result.Reason == reasonReplaced:
		rs.lost(r)
	default:
		rs.finish(r, *result)
	}
	return relayAnswer{Wanted: current && result == nil}, nil
}

// take tells the follower of events, also of tokens that come again from a new home; it returns
// the result if there is one.
func (r *relay) take(events []relayEvent) *chicoryhall.Result {
	for _, e := range events {
		if e.Accepted && !r.accepted {
			r.accepted = true
			r.follower.OnAccepted()
		}
		if len(e.Tokens) > 0 && e.Position <= r.position {
			r.follower.OnTokens(e.Position, e.Tokens)
			r.position = e.Position + len(e.Tokens)
		}
		if e.Result != nil {
			return e.Result
		}
	}
	return nil
}
