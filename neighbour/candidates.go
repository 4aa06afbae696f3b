package neighbour

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

const (
	// minDomainDaemons is the number of daemons in a failure domain from which on they share what they read. Fewer would save
	// hardly a call.
	minDomainDaemons = 4
	// minDistrust and maxDistrust bound how long a daemon that has not answered, or knows too little, is not asked. The time
	// doubles with each failure in a row.
	minDistrust = 2 * time.Second
	maxDistrust = 16 * time.Second
)

// Candidates chooses the daemon to ask among the members of a failure domain. All daemons that know the same members and trust
// them choose the same one. It is not safe for concurrent use.
type Candidates struct {
	self     chicoryhall.Member
	distrust map[chicoryhall.DaemonID]distrust
}

// distrust says until when a daemon is not asked, after how many failures in a row.
type distrust struct {
	until    time.Time
	failures int
}

// NewCandidates returns the Candidates of a daemon, which trusts all others.
func NewCandidates(self chicoryhall.Member) *Candidates {
	return &Candidates{self: self, distrust: make(map[chicoryhall.DaemonID]distrust)}
}

// Choose returns the daemon to ask at now, or false if this daemon is its own reader. Members are the other daemons.
func (c *Candidates) Choose(members []chicoryhall.Member, now time.Time) (chicoryhall.Member, bool) {
	best, inDomain := c.self, 1
	for _, member := range members {
		if member.FailureDomain != c.self.FailureDomain || member.State != chicoryhall.MemberAlive || member.NeighbourAddress == "" {
			continue
		}
		inDomain++
		if c.goesBefore(member, best) && !now.Before(c.distrust[member.ID].until) {
			best = member
		}
	}
	return best, best.ID != c.self.ID && inDomain >= minDomainDaemons
}

// goesBefore reports whether a daemon is a better choice than another one: it has a larger part of a processor, or else comes
// first in an order of its failure domain's own.
func (c *Candidates) goesBefore(a, b chicoryhall.Member) bool {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(c.rankOf(a.ID), c.rankOf(b.ID)), cmp.Compare(a.ID, b.ID)) < 0
}

// rankOf returns a number that orders the daemons of a failure domain.
func (c *Candidates) rankOf(id chicoryhall.DaemonID) uint64 {
	return xxhash.Sum64String(string(c.self.FailureDomain) + "\x00" + string(id))
}

// Failed records that a daemon has not answered, or knows too little.
func (c *Candidates) Failed(id chicoryhall.DaemonID, now time.Time) {
	failures := c.distrust[id].failures
	pause := min(maxDistrust, minDistrust<<min(failures, 8)) // Bounded to avoid an overflow.
	c.distrust[id] = distrust{until: now.Add(pause), failures: failures + 1}
}

// Succeeded records that a daemon has answered with what this one needs.
func (c *Candidates) Succeeded(id chicoryhall.DaemonID) { delete(c.distrust, id) }

// HasFailed reports whether a daemon has failed since it last succeeded.
func (c *Candidates) HasFailed(id chicoryhall.DaemonID) bool { return c.distrust[id].failures > 0 }

// Forget drops what is known of daemons that are no members any more.
func (c *Candidates) Forget(members []chicoryhall.Member) {
	for id := range c.distrust {
		if !slices.ContainsFunc(members, func(m chicoryhall.Member) bool { return m.ID == id }) {
			delete(c.distrust, id)
		}
	}
}
