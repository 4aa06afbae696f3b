package watch

import (
	"cmp"
	"math/bits"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// sightingsPerMessage bounds the queued updates in one message to a peer.
	sightingsPerMessage = 12
	// sendsPerDoubling times the base-2 logarithm of the number of daemons is how often each update is
	// sent, as in gossip protocols the number of rounds to reach every daemon grows with the logarithm.
	sendsPerDoubling = 2
)

// updateQueue holds the endpoints whose changes have still to be sent to peers.
type updateQueue struct {
	items map[chicoryhall.EndpointID]*queuedUpdate
}

// queuedUpdate counts how often an endpoint's change was sent; urgent updates, which are changes of state,
// go first.
type queuedUpdate struct {
	sent   int
	urgent bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{items: map[chicoryhall.EndpointID]*queuedUpdate{}}
}

// add queues an endpoint's update. It keeps a queued urgent update if the new one is not urgent.
func (s *updateQueue) add(id chicoryhall.EndpointID, urgent bool) {
	queued := s.items[id]
	if queued != nil && queued.urgent && !urgent {
		return
	}
	s.items[id] = &queuedUpdate{urgent: urgent}
}

// hasUrgent reports whether an urgent update is queued.
func (s *updateQueue) hasUrgent() bool {
	for _, item := range s.items {
		if item.urgent {
			return true
		}
	}
	return false
}

// next returns the endpoints for the next message, counts them as sent and drops those that were sent
// often enough for the given number of daemons.
func (s *updateQueue) next(daemons int) []chicoryhall.EndpointID {
	ids := make([]chicoryhall.EndpointID, 0, len(s.items))
	for id := range s.items {
		ids = append(ids, id)
	}
	rank := func(id chicoryhall.EndpointID) int {
		if s.items[id].urgent {
			return 0
		}
		return 1
	}
	slices.SortFunc(ids, func(a, b chicoryhall.EndpointID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(s.items[a].sent, s.items[b].sent), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), sightingsPerMessage)]
	sends := sendsPerDoubling * bits.Len(uint(daemons))
	for _, id := range ids {
		s.items[id].sent++
		if s.items[id].sent >= sends {
			delete(s.items, id)
		}
	}
	return ids
}
