package holder

import (
	"context"
	"sync"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/peer"
)

// maxRelayTokens limits the tokens in one message of a relay.
const maxRelayTokens = 4096

// remoteFollower is a chicoryhall.Follower that sends its events to another daemon.
type remoteFollower struct {
	relays *relays
	daemon chicoryhall.DaemonID
	relay  relayID

	mu      sync.Mutex
	queue   []relayEvent
	sending bool
	ended   bool
	stop    func()
}

func (rs *relays) registerHandlers() {
	peer.Handle(rs.replicator.node, methodFollow, rs.handleFollow)
	peer.Handle(rs.replicator.node, methodEvents, rs.handleEvents)
	peer.Handle(rs.replicator.node, methodCancel, rs.handleCancel)
}

func (rs *relays) handleFollow(_ context.Context, from chicoryhall.DaemonID, request followRequest) (followAnswer, error) {
	s := &remoteFollower{relays: rs, daemon: from, relay: request.Relay}
	if rs.replicator.replayFinished(request.ID, request.Organisation, request.Position, s) {
		return followAnswer{Location: LocationHere}, nil
	}
	if requests := rs.replicator.localRequests(); requests != nil {
		if stop, found := requests.Follow(request.ID, request.Organisation, request.Position, s); found {
			s.setStop(stop)
			return followAnswer{Location: LocationHere}, nil
		}
	}
	location, owner := rs.replicator.locate(request.ID)
	return followAnswer{Location: location, Owner: owner}, nil
}

func (rs *relays) handleCancel(_ context.Context, _ chicoryhall.DaemonID, request cancelRequest) (followAnswer, error) {
	requests := rs.replicator.localRequests()
	if requests != nil && requests.Cancel(request.ID, request.Organisation) {
		return followAnswer{Location: LocationHere}, nil
	}
	location, owner := rs.replicator.locate(request.ID)
	return followAnswer{Location: location, Owner: owner}, nil
}

func (rep *Replicator) localRequests() chicoryhall.Requests {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.requests
}

// replayFinished gives a follower the finished answer that this daemon kept as backup, if there is
// one.
func (rep *Replicator) replayFinished(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int, follower chicoryhall.Follower) bool {
	rep.mu.Lock()
	record, ok := rep.state.FinishedRequest(id)
	rep.mu.Unlock()
	if !ok || record.Organisation != organisation {
		return false
	}
	follower.OnAccepted()
	if position < len(record.Tokens) {
		follower.OnTokens(position, record.Tokens[position:])
	}
	follower.OnFinish(chicoryhall.Result{Outcome: record.Outcome})
	return true
}

// OnAccepted sends the event that the request is accepted.
func (s *remoteFollower) OnAccepted() { s.put(relayEvent{Accepted: true}) }

// OnTokens sends tokens.
func (s *remoteFollower) OnTokens(position int, tokens []digest.Token) {
	s.put(relayEvent{Position: position, Tokens: tokens})
}

// OnFinish sends the result.
func (s *remoteFollower) OnFinish(result chicoryhall.Result) { s.put(relayEvent{Result: &result}) }

// put queues an event. One message is in flight at a time; events that come meanwhile go into the
// next one.
func (s *remoteFollower) put(e relayEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.queue = append(s.queue, e)
	if !s.sending {
		s.sending = true
		s.relays.replicator.send(s.sendAll)
	}
}

func (s *remoteFollower) setStop(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// sendAll sends the queued events until none is left or the other daemon wants no more.
func (s *remoteFollower) sendAll(ctx context.Context) {
	for {
		events := s.takeQueued()
		if len(events) == 0 {
			return
		}
		answer, err := peer.Call[relayAnswer](ctx, s.relays.replicator.node, s.daemon, methodEvents, relayEvents{Relay: s.relay, Events: events})
		if err != nil || !answer.Wanted {
			s.stopFollowing()
			return
		}
	}
}

// takeQueued removes and returns queued events with at most maxRelayTokens tokens, or a single
// larger one.
func (s *remoteFollower) takeQueued() []relayEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, count := 0, 0
	for count < len(s.queue) && (count == 0 || tokens+len(s.queue[count].Tokens) <= maxRelayTokens) {
		tokens += len(s.queue[count].Tokens)
		count++
	}
	events := s.queue[:count]
	s.queue = s.queue[count:]
	if count == 0 {
		s.sending = false
	}
	return events
}

// stopFollowing ends the subscription for a daemon that wants no more events or cannot be reached.
func (s *remoteFollower) stopFollowing() {
	s.mu.Lock()
	s.ended = true
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}
