package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxUpdates bounds the entries that one packet carries.
	maxUpdates = 4
	// maxSpread is the most entries of one full exchange that its receiver spreads.
	maxSpread = 16
	// gossipFactor times log2 of the members is how often each change is sent.
	gossipFactor = 2
)

// gossip holds the changes that still have to be spread.
type gossip struct {
	changes map[chicoryhall.DaemonID]*change
}

type change struct {
	member chicoryhall.Member
	sent   int
}

func newGossip() *gossip {
	return &gossip{changes: map[chicoryhall.DaemonID]*change{}}
}

// put replaces what is spread of one daemon.
func (g *gossip) put(member chicoryhall.Member) {
	g.changes[member.ID] = &change{member: member}
}

// drop stops spreading what is known of one daemon.
func (g *gossip) drop(id chicoryhall.DaemonID) {
	delete(g.changes, id)
}

// take returns the changes sent least often and counts them as sent once more.
func (g *gossip) take(to chicoryhall.DaemonID, members int) []chicoryhall.Member {
	waiting := make([]*change, 0, len(g.changes))
	for id, c := range g.changes {
		if id != to {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.member.ID, b.member.ID))
	})
	limit := gossipFactor * bits.Len(uint(members+1))
	updates := make([]chicoryhall.Member, 0, maxUpdates)
	for _, c := range waiting[:min(len(waiting), maxUpdates)] {
		updates = append(updates, brief(c.member))
		c.sent++
		if c.sent >= limit {
			delete(g.changes, c.member.ID)
		}
	}
	return updates
}
