package holder

import (
	"context"
	"sync"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/peer"
)

// maxRelayTokens bounds the tokens of one relayed message.
const maxRelayTokens = 4096

// served is a request that another daemon follows here; it is a chicoryhall.Follower.
type served struct {
	relays *relays
	to     chicoryhall.DaemonID
	relay  relayName

	mu      sync.Mutex
	queue   []relayEvent
	sending bool
	ended   bool
	stop    func()
}

func (rs *relays) register() {
	peer.Handle(rs.keeper.node, methodFollow, rs.handleFollow)
	peer.Handle(rs.keeper.node, methodEvents, rs.handleEvents)
	peer.Handle(rs.keeper.node, methodCancel, rs.handleCancel)
}

func (rs *relays) handleFollow(_ context.Context, from chicoryhall.DaemonID, request followRequest) (followAnswer, error) {
	s := &served{relays: rs, to: from, relay: request.Relay}
	if rs.keeper.tellFinished(request.ID, request.Organisation, request.Position, s) {
		return followAnswer{Finding: LocationHere}, nil
	}
	if requests := rs.keeper.localRequests(); requests != nil {
		if stop, found := requests.Follow(request.ID, request.Organisation, request.Position, s); found {
			s.setStop(stop)
			return followAnswer{Finding: LocationHere}, nil
		}
	}
	finding, home := rs.keeper.find(request.ID)
	return followAnswer{Finding: finding, Home: home}, nil
}

func (rs *relays) handleCancel(_ context.Context, _ chicoryhall.DaemonID, request cancelRequest) (followAnswer, error) {
	requests := rs.keeper.localRequests()
	if requests != nil && requests.Cancel(request.ID, request.Organisation) {
		return followAnswer{Finding: LocationHere}, nil
	}
	finding, home := rs.keeper.find(request.ID)
	return followAnswer{Finding: finding, Home: home}, nil
}

func (k *Replicator) localRequests() chicoryhall.Requests {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.requests
}

// tellFinished gives a follower the answer that this daemon kept as second holder.
func (k *Replicator) tellFinished(id chicoryhall.RequestID, organisation chicoryhall.Organisation, position int, follower chicoryhall.Follower) bool {
	k.mu.Lock()
	record, ok := k.state.FinishedRequest(id)
	k.mu.Unlock()
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

// OnAccepted relays that the request is held.
func (s *served) OnAccepted() { s.put(relayEvent{Accepted: true}) }

// OnTokens relays tokens.
func (s *served) OnTokens(position int, tokens []digest.Token) {
	s.put(relayEvent{Position: position, Tokens: tokens})
}

// OnFinish relays the result.
func (s *served) OnFinish(result chicoryhall.Result) { s.put(relayEvent{Result: &result}) }

// put queues an event; one message is on its way at a time, the next gathers.
func (s *served) put(e relayEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.queue = append(s.queue, e)
	if !s.sending {
		s.sending = true
		s.relays.keeper.send(s.sendAll)
	}
}

func (s *served) setStop(stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop = stop
}

// sendAll sends what is queued until nothing is left or the other daemon wants no more.
func (s *served) sendAll(ctx context.Context) {
	for {
		events := s.next()
		if len(events) == 0 {
			return
		}
		answer, err := peer.Call[relayAnswer](ctx, s.relays.keeper.node, s.to, methodEvents, relayEvents{Relay: s.relay, Events: events})
		if err != nil || !answer.Wanted {
			s.end()
			return
		}
	}
}

// next takes the queued events up to maxRelayTokens.
func (s *served) next() []relayEvent {
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

// end stops following for a daemon that wants no more or cannot be reached.
func (s *served) end() {
	s.mu.Lock()
	s.ended = true
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}
