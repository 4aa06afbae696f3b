package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxUpdates bounds the gossiped entries that one packet carries.
	maxUpdates = 4
	// maxGossipedPerSync bounds the gossip after a full sync: if it brings more new entries, none of them is gossiped.
	maxGossipedPerSync = 16
	// gossipFactor sets how many times each change is sent: gossipFactor times the bit length of the number of daemons,
	// which is about log2 of that number.
	gossipFactor = 2
)

// gossip holds the changes that still have to be sent to peers, the latest one for each daemon.
type gossip struct {
	changes map[chicoryhall.DaemonID]*change
}

type change struct {
	member    chicoryhall.Member
	sendCount int
}

func newGossip() *gossip {
	return &gossip{changes: map[chicoryhall.DaemonID]*change{}}
}

// put queues an entry, replacing an earlier one of the same daemon.
func (g *gossip) put(member chicoryhall.Member) {
	g.changes[member.ID] = &change{member: member}
}

// drop removes the queued entry of one daemon.
func (g *gossip) drop(id chicoryhall.DaemonID) {
	delete(g.changes, id)
}

// next returns up to maxUpdates changes for one peer, those sent least often first, and counts each as sent once
// more. A change that has been sent often enough is removed.
func (g *gossip) next(to chicoryhall.DaemonID, members int) []chicoryhall.Member {
	pending := make([]*change, 0, len(g.changes))
	for id, c := range g.changes {
		if id != to {
			pending = append(pending, c)
		}
	}
	slices.SortFunc(pending, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(a.member.ID, b.member.ID))
	})
	limit := gossipFactor * bits.Len(uint(members+1))
	updates := make([]chicoryhall.Member, 0, maxUpdates)
	for _, c := range pending[:min(len(pending), maxUpdates)] {
		updates = append(updates, compact(c.member))
		c.sendCount++
		if c.sendCount >= limit {
			delete(g.changes, c.member.ID)
		}
	}
	return updates
}
