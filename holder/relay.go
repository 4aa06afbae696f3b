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
	// findTimeout limits the time that one daemon has to say whether it has a request.
	findTimeout = 500 * time.Millisecond
	// searchPeriod is the time between two searches for a request whose owner failed.
	searchPeriod = 100 * time.Millisecond
	// searchTimeout is how long a lost request is searched before its follower gets the outcome
	// Unknown.
	searchTimeout = 15 * time.Second
	// reasonLost is the reason of the result when the request was not found in time. It has the same
	// text as stream.ReasonNoBackup, so that problem documents describe both alike.
	reasonLost = "holder"
	// reasonTakenOver is the reason of the result at a daemon that has lost the request to another
	// owner; it is stream.ReasonTakenOver. The relay then searches again.
	reasonTakenOver = "replaced"
)

// relays are the requests that this daemon follows at other daemons on behalf of its callers.
type relays struct {
	replicator *Replicator

	mu         sync.Mutex
	lastNumber uint64
	open       map[uint64]*relay
}

// relay is one request that this daemon follows at another daemon.
type relay struct {
	number       uint64
	id           chicoryhall.RequestID
	organisation chicoryhall.Organisation
	follower     chicoryhall.Follower
	stopped      atomic.Bool

	// mu serialises the calls of the follower. The stop function must not lock it, because a
	// follower may call stop from within such a call.
	mu           sync.Mutex
	searchNumber int
	position     int
	accepted     bool
	source       chicoryhall.DaemonID
	lostAt       time.Time
}

func newRelays(rep *Replicator) *relays {
	return &relays{replicator: rep, open: map[uint64]*relay{}}
}

// Follow reports the progress of a request that another daemon runs. It returns false if no daemon
// is known to run it.
func (rep *Replicator) Follow(ctx context.Context, id chicoryhall.RequestID, organisation chicoryhall.Organisation,
	position int, follower chicoryhall.Follower,
) (stop func(), found bool) {
	if rep.replayFinished(id, organisation, position, follower) {
		return func() {}, true
	}
	r := rep.relays.add(id, organisation, position, follower)
	if !rep.relays.search(ctx, r) {
		rep.relays.remove(r)
		return nil, false
	}
	return func() { rep.relays.stop(r) }, true
}

// Cancel ends a request that another daemon runs. It returns false if none of the asked daemons
// runs it.
func (rep *Replicator) Cancel(ctx context.Context, id chicoryhall.RequestID, organisation chicoryhall.Organisation) bool {
	_, location := rep.askDaemons(ctx, id, func(ctx context.Context, at chicoryhall.DaemonID) (followAnswer, error) {
		return peer.Call[followAnswer](ctx, rep.node, at, methodCancel, cancelRequest{ID: id, Organisation: organisation})
	})
	return location == LocationHere
}

// askDaemons sends a query to the daemons that may know the request, until one of them has it.
func (rep *Replicator) askDaemons(ctx context.Context, id chicoryhall.RequestID,
	query func(context.Context, chicoryhall.DaemonID) (followAnswer, error),
) (chicoryhall.DaemonID, Location) {
	daemons := daemonsToAsk(id, rep.node.Self(), rep.members.Others())
	if location, owner := rep.locate(id); location == LocationMoved {
		daemons = append([]chicoryhall.DaemonID{owner}, daemons...)
	}
	best := LocationUnknown
	for i := 0; i < len(daemons) && i < maxDaemonsAsked; i++ {
		if slices.Contains(daemons[:i], daemons[i]) || daemons[i] == rep.node.Self() {
			continue
		}
		answer, err := rep.askDaemon(ctx, daemons[i], query)
		switch {
		case err != nil:
		case answer.Location == LocationHere:
			return daemons[i], LocationHere
		case answer.Location == LocationPending:
			best = LocationPending
		case answer.Location == LocationMoved:
			daemons = slices.Insert(daemons, i+1, answer.Owner)
		}
	}
	return "", best
}

func (rep *Replicator) askDaemon(ctx context.Context, at chicoryhall.DaemonID,
	query func(context.Context, chicoryhall.DaemonID) (followAnswer, error),
) (followAnswer, error) {
	ctx, cancel := peer.WithTimeout(ctx, rep.timer, findTimeout)
	defer cancel()
	return query(ctx, at)
}

func (rep *Replicator) locate(id chicoryhall.RequestID) (Location, chicoryhall.DaemonID) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state.Locate(id)
}

func (rs *relays) add(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int, follower chicoryhall.Follower) *relay {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.lastNumber++
	r := &relay{number: rs.lastNumber, id: id, organisation: organisation, position: position, follower: follower}
	rs.open[r.number] = r
	return r
}

func (rs *relays) remove(r *relay) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.open, r.number)
}

// stop ends a relay. The daemon that is followed learns of it from the answer to its next message.
func (rs *relays) stop(r *relay) {
	if r.stopped.Swap(true) {
		return
	}
	rs.remove(r)
}

// search looks for the request and follows it where it is found; it returns false if no daemon
// knows it.
func (rs *relays) search(ctx context.Context, r *relay) bool {
	r.mu.Lock()
	r.searchNumber++
	request := followRequest{
		Relay: relayID{Number: r.number, SearchNumber: r.searchNumber}, ID: r.id, Organisation: r.organisation, Position: r.position,
	}
	r.source = ""
	r.mu.Unlock()
	source, location := rs.replicator.askDaemons(ctx, r.id, func(ctx context.Context, at chicoryhall.DaemonID) (followAnswer, error) {
		return peer.Call[followAnswer](ctx, rs.replicator.node, at, methodFollow, request)
	})
	if location == LocationPending {
		rs.searchLater(r)
	}
	if location == LocationHere {
		rs.setSource(r, request.Relay.SearchNumber, source)
	}
	return location != LocationUnknown
}

// setSource records the daemon at which a request is followed.
func (rs *relays) setSource(r *relay, search int, source chicoryhall.DaemonID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.searchNumber == search {
		r.source = source
		r.lostAt = time.Time{}
	}
}

// handleLost starts a new search for a request whose daemon failed or was replaced.
func (rs *relays) handleLost(r *relay) {
	now := rs.replicator.timer.Now()
	r.mu.Lock()
	if r.lostAt.IsZero() {
		r.lostAt = now
	}
	r.searchNumber++ // Ignore later events of the lost daemon.
	r.position = 0   // The new owner's answer may differ from the one so far.
	r.source = ""
	expired := now.Sub(r.lostAt) > searchTimeout
	r.mu.Unlock()
	if expired {
		rs.giveUp(r)
		return
	}
	rs.searchLater(r)
}

func (rs *relays) searchLater(r *relay) {
	rs.replicator.timer.After(searchPeriod, func(time.Time) {
		if r.stopped.Load() {
			return
		}
		rs.replicator.send(func(ctx context.Context) { rs.searchAgain(ctx, r) })
	})
}

func (rs *relays) searchAgain(ctx context.Context, r *relay) {
	if rs.replicator.followHere(r) {
		rs.remove(r)
		return
	}
	if !rs.search(ctx, r) {
		rs.handleLost(r)
	}
}

// followHere follows the request at this daemon if it runs here now or its answer is here.
func (rep *Replicator) followHere(r *relay) bool {
	rep.mu.Lock()
	requests := rep.requests
	rep.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.replayFinished(r.id, r.organisation, r.position, r.follower) {
		return true
	}
	if requests == nil {
		return false
	}
	_, found := requests.Follow(r.id, r.organisation, r.position, r.follower)
	return found
}

// giveUp ends a relay with the outcome Unknown.
func (rs *relays) giveUp(r *relay) {
	rs.replicator.log(event.RequestOwnerNotFound, "request", r.id)
	rs.finish(r, chicoryhall.Result{Outcome: chicoryhall.OutcomeUnknown, Reason: reasonLost, RetryAfter: time.Second})
}

func (rs *relays) finish(r *relay, result chicoryhall.Result) {
	rs.remove(r)
	if !r.stopped.Swap(true) {
		r.follower.OnFinish(result)
	}
}

// memberChanged searches again for the requests that are followed at a daemon that has died.
func (rs *relays) memberChanged(member chicoryhall.Member) {
	if member.State != chicoryhall.MemberDead {
		return
	}
	for _, r := range rs.all() {
		r.mu.Lock()
		gone := r.source == member.ID
		r.mu.Unlock()
		if gone {
			rs.handleLost(r)
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

// handleEvents receives events from the daemon at which a request is followed.
func (rs *relays) handleEvents(_ context.Context, _ chicoryhall.DaemonID, events relayEvents) (relayAnswer, error) {
	rs.mu.Lock()
	r, ok := rs.open[events.Relay.Number]
	rs.mu.Unlock()
	if !ok || r.stopped.Load() {
		return relayAnswer{}, nil
	}
	r.mu.Lock()
	current := events.Relay.SearchNumber == r.searchNumber
	var result *chicoryhall.Result
	if current {
		result = r.handleEvents(events.Events)
	}
	r.mu.Unlock()
	switch {
	case result == nil:
	case result.Reason == reasonTakenOver:
		rs.handleLost(r)
	default:
		rs.finish(r, *result)
	}
	return relayAnswer{Wanted: current && result == nil}, nil
}

// handleEvents passes events on to the follower. A new owner may repeat tokens from an earlier
// position. It returns the result if the events contain it.
func (r *relay) handleEvents(events []relayEvent) *chicoryhall.Result {
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
