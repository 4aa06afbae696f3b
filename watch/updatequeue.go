package watch

import (
	"cmp"
	"math/bits"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// updatesPerMessage bounds the queued updates in one message to a peer. The endpoints that the peer asked
	// for come on top.
	updatesPerMessage = 12
	// Each update is sent sendsPerDoubling times for each doubling of the number of daemons: with random
	// peers, the number of messages needed to reach every daemon grows with the logarithm of their number.
	sendsPerDoubling = 2
)

// updateQueue holds the endpoints whose changes have still to be sent to peers.
type updateQueue struct {
	items map[chicoryhall.EndpointID]*queuedUpdate
}

// queuedUpdate counts how often an endpoint's update was sent. Urgent updates go first; see
// entry.prepareUpdate.
type queuedUpdate struct {
	sent   int
	urgent bool
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{items: map[chicoryhall.EndpointID]*queuedUpdate{}}
}

// add queues an endpoint's update. It keeps a queued urgent update if the new one is not urgent.
func (q *updateQueue) add(id chicoryhall.EndpointID, urgent bool) {
	queued := q.items[id]
	if queued != nil && queued.urgent && !urgent {
		return
	}
	q.items[id] = &queuedUpdate{urgent: urgent}
}

// hasUrgent reports whether an urgent update is queued.
func (q *updateQueue) hasUrgent() bool {
	for _, item := range q.items {
		if item.urgent {
			return true
		}
	}
	return false
}

// next returns the endpoints for the next message, counts them as sent and drops those that were sent
// often enough for the given number of daemons.
func (q *updateQueue) next(daemons int) []chicoryhall.EndpointID {
	ids := make([]chicoryhall.EndpointID, 0, len(q.items))
	for id := range q.items {
		ids = append(ids, id)
	}
	rank := func(id chicoryhall.EndpointID) int {
		if q.items[id].urgent {
			return 0
		}
		return 1
	}
	slices.SortFunc(ids, func(a, b chicoryhall.EndpointID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(q.items[a].sent, q.items[b].sent), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), updatesPerMessage)]
	sends := sendsPerDoubling * bits.Len(uint(daemons))
	for _, id := range ids {
		q.items[id].sent++
		if q.items[id].sent >= sends {
			delete(q.items, id)
		}
	}
	return ids
}
