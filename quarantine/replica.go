package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=State -text -transform=kebab -trimprefix=State -output=state_enumer.go

// State tells whether requests with a fingerprint may run.
type State int

// The values of State.
const (
	// StateFree means that requests with the fingerprint may run.
	StateFree State = iota
	// StateSuspect means that they run only under a reservation by the arbiter.
	StateSuspect
	// StateConvicted means that they are refused.
	StateConvicted
)

// stateEntry is a state and the time at which it expires.
type stateEntry struct {
	state     State
	expiresAt time.Time
}

// Replica is one daemon's copy of the arbiter's suspects, convictions and reservations. It is safe
// for concurrent use.
type Replica struct {
	mu     sync.Mutex
	states map[Fingerprint]stateEntry
	// reserved maps an engine to the time at which its reservation expires.
	reserved map[chicoryhall.EndpointID]time.Time
	// unreported lists, by fingerprint, the crashed engines that are not reported to the arbiter yet.
	unreported map[Fingerprint][]chicoryhall.EndpointID
}

// NewReplica returns a Guard without suspects.
func NewReplica() *Replica {
	return &Replica{
		states:     make(map[Fingerprint]stateEntry),
		reserved:   make(map[chicoryhall.EndpointID]time.Time),
		unreported: make(map[Fingerprint][]chicoryhall.EndpointID),
	}
}

// State returns the state of a fingerprint.
func (g *Replica) State(fingerprint Fingerprint, now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry, ok := g.states[fingerprint]
	if !ok || !now.Before(entry.expiresAt) {
		return StateFree
	}
	return entry.state
}

// MarkSuspect marks a fingerprint as suspect because endpoints crashed while they ran a request of
// this daemon with it, and keeps the crashed endpoints for TakeCrashed.
func (g *Replica) MarkSuspect(fingerprint Fingerprint, crashed []chicoryhall.EndpointID, now time.Time) {
	g.Apply(Notice{Suspects: []Fingerprint{fingerprint}}, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, engine := range crashed {
		if !slices.Contains(g.unreported[fingerprint], engine) {
			g.unreported[fingerprint] = append(g.unreported[fingerprint], engine)
		}
	}
}

// TakeCrashed removes and returns the crashed endpoints of a fingerprint that are not reported to
// the arbiter yet. If reporting them fails, pass them to Suspect again.
func (g *Replica) TakeCrashed(fingerprint Fingerprint) []chicoryhall.EndpointID {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashed := g.unreported[fingerprint]
	delete(g.unreported, fingerprint)
	return crashed
}

// ApplyDecision applies the arbiter's decision on a request of this daemon.
func (g *Replica) ApplyDecision(fingerprint Fingerprint, decision Decision, now time.Time) {
	switch decision {
	case DecisionFree:
		g.Apply(Notice{Cleared: []Fingerprint{fingerprint}}, now)
	case DecisionRefuse:
		g.Apply(Notice{Convicted: []Fingerprint{fingerprint}}, now)
	case DecisionReserved, DecisionWait:
	}
}

// Apply applies a notice of the arbiter. Later notices neither revoke nor prolong a conviction.
func (g *Replica) Apply(notice Notice, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	for _, fingerprint := range notice.Cleared {
		if g.states[fingerprint].state != StateConvicted {
			delete(g.states, fingerprint)
		}
	}
	for _, fingerprint := range notice.Suspects {
		if g.states[fingerprint].state != StateConvicted {
			g.states[fingerprint] = stateEntry{state: StateSuspect, expiresAt: now.Add(suspicionLifetime)}
		}
	}
	for _, fingerprint := range notice.Convicted {
		if g.states[fingerprint].state != StateConvicted {
			g.states[fingerprint] = stateEntry{state: StateConvicted, expiresAt: now.Add(ConvictionLifetime)}
		}
	}
	for _, engine := range notice.Released {
		delete(g.reserved, engine)
	}
	for _, engine := range notice.Reserved {
		g.reserved[engine] = now.Add(reservationLifetime)
	}
}

// Convictions returns the convictions with their remaining times.
func (g *Replica) Convictions(now time.Time) Convictions {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all Convictions
	for fingerprint, entry := range g.states {
		if left := int64(entry.expiresAt.Sub(now) / time.Second); entry.state == StateConvicted && left > 0 {
			all.Refused = append(all.Refused, Conviction{Fingerprint: fingerprint, Seconds: left})
		}
	}
	slices.SortFunc(all.Refused, func(a, b Conviction) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Counts returns the numbers of suspects, convictions and reserved engines.
func (g *Replica) Counts(now time.Time) (suspects, convicted, reserved int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	for _, entry := range g.states {
		if entry.state == StateConvicted {
			convicted++
		} else {
			suspects++
		}
	}
	return suspects, convicted, len(g.reserved)
}

// Merge adds the convictions of another daemon; it never prolongs one.
func (g *Replica) Merge(convictions Convictions, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range convictions.Refused {
		left := min(time.Duration(c.Seconds)*time.Second, ConvictionLifetime)
		if g.states[c.Fingerprint].state != StateConvicted && left > 0 {
			g.states[c.Fingerprint] = stateEntry{state: StateConvicted, expiresAt: now.Add(left)}
		}
	}
}

// expire removes states and reservations that have expired, and crashes of fingerprints that are no
// longer suspect.
func (g *Replica) expire(now time.Time) {
	maps.DeleteFunc(g.states, func(_ Fingerprint, entry stateEntry) bool { return !now.Before(entry.expiresAt) })
	maps.DeleteFunc(g.unreported, func(f Fingerprint, _ []chicoryhall.EndpointID) bool { return g.states[f].state != StateSuspect })
	maps.DeleteFunc(g.reserved, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
}

// ReservedEndpoints returns the engines that are reserved for suspects, sorted.
func (g *Replica) ReservedEndpoints(now time.Time) []chicoryhall.EndpointID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.reserved) == 0 {
		return nil
	}
	g.expire(now)
	return slices.Sorted(maps.Keys(g.reserved))
}

// ArbiterOf returns the daemon that acts as the arbiter: the one whose ID has the highest hash among
// the caller and the members it sees alive. Daemons with the same view choose the same arbiter.
func ArbiterOf(members chicoryhall.Members) chicoryhall.DaemonID {
	best := members.Self().ID
	highest := xxhash.Sum64String(string(best))
	for _, member := range members.All() {
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		if hash := xxhash.Sum64String(string(member.ID)); hash > highest {
			best, highest = member.ID, hash
		}
	}
	return best
}
