package pace

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// usedShare is the part of a limit that all daemons together use. The rest is for daemons that do not know of each other
	// yet.
	usedShare = 0.9
	// nearShare is the part of it for the daemons of the endpoint's failure domain, which send most requests there.
	nearShare = 0.8
	// unknownDaemons is the number of daemons that one assumes which does not know the others, as right after its start.
	unknownDaemons = 100
	// countsLifetime is how long the numbers of daemons are cached.
	countsLifetime = time.Second
)

// Members are the daemons that share the limits.
type Members interface {
	chicoryhall.Members
	// Known reports whether the other daemons are known.
	Known() bool
}

// Shares divides limits among the daemons. It is safe for concurrent use.
type Shares struct {
	members Members

	mu        sync.Mutex
	byDomain  map[chicoryhall.FailureDomain]int
	all       int
	countedAt time.Time
}

// NewShares returns the Shares of a daemon.
func NewShares(members Members) *Shares { return &Shares{members: members} }

// Of returns this daemon's part of the limit of an endpoint in a failure domain. Daemons in the same state take equal parts.
// Daemons that may live count, as too small a part does less harm than too large a one.
func (s *Shares) Of(domain chicoryhall.FailureDomain, now time.Time) float64 {
	if !s.members.Known() {
		return usedShare / unknownDaemons
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byDomain == nil || now.Sub(s.countedAt) >= countsLifetime {
		s.count(now)
	}
	near := s.byDomain[domain]
	far := s.all - near
	isNear := s.members.Self().FailureDomain == domain
	switch {
	case near == 0 || far == 0:
		return usedShare / float64(s.all)
	case isNear:
		return usedShare * nearShare / float64(near)
	default:
		return usedShare * (1 - nearShare) / float64(far)
	}
}

// count counts the daemons that are not known to be dead. The caller holds s.mu.
func (s *Shares) count(now time.Time) {
	s.countedAt, s.all = now, 1
	s.byDomain = map[chicoryhall.FailureDomain]int{s.members.Self().FailureDomain: 1}
	for _, member := range s.members.Others() {
		if member.State != chicoryhall.MemberDead {
			s.all++
			s.byDomain[member.FailureDomain]++
		}
	}
}
