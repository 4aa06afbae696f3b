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
	// StateSuspect means that they run only on endpoints that are reserved for them.
	StateSuspect
	// StateConvicted means that they are refused.
	StateConvicted
	// StateUnsettled means that they wait until it is known whether other requests may have caused the last crash. A
	// Replica does not have this state.
	StateUnsettled
)

// severity orders the states by how little they allow.
func (s State) severity() int {
	switch s {
	case StateConvicted:
		return 3
	case StateUnsettled:
		return 2
	case StateSuspect:
		return 1
	default: // StateFree.
		return 0
	}
}

// stateEntry is a state and the time at which it expires.
type stateEntry struct {
	state     State
	expiresAt time.Time
}

// Replica is one daemon's copy of the arbiter's suspects, convictions and reservations. It also
// keeps the crashes that this daemon has not reported to the arbiter yet. It is safe for concurrent
// use.
type Replica struct {
	mu     sync.Mutex
	states map[Fingerprint]stateEntry
	// reserved maps an endpoint to the time at which its reservation expires.
	reserved map[chicoryhall.EndpointID]time.Time
	// unreported lists, by fingerprint, the crashed endpoints that have not been reported to the
	// arbiter.
	unreported map[Fingerprint][]chicoryhall.EndpointID
}

// NewReplica returns a Replica without suspects.
func NewReplica() *Replica {
	return &Replica{
		states:     make(map[Fingerprint]stateEntry),
		reserved:   make(map[chicoryhall.EndpointID]time.Time),
		unreported: make(map[Fingerprint][]chicoryhall.EndpointID),
	}
}

// State returns the state of a fingerprint.
func (r *Replica) State(fingerprint Fingerprint, now time.Time) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.states[fingerprint]
	if !ok || !now.Before(entry.expiresAt) {
		return StateFree
	}
	return entry.state
}

// MarkSuspect marks a fingerprint as suspect because endpoints crashed while they ran a request of
// this daemon with it, and keeps the crashed endpoints for TakeCrashed.
func (r *Replica) MarkSuspect(fingerprint Fingerprint, crashed []chicoryhall.EndpointID, now time.Time) {
	r.Apply(Notice{Suspects: []Fingerprint{fingerprint}}, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, endpoint := range crashed {
		if !slices.Contains(r.unreported[fingerprint], endpoint) {
			r.unreported[fingerprint] = append(r.unreported[fingerprint], endpoint)
		}
	}
}

// TakeCrashed removes and returns the crashed endpoints of a fingerprint that have not been
// reported to the arbiter. If reporting them fails, pass them to MarkSuspect again.
func (r *Replica) TakeCrashed(fingerprint Fingerprint) []chicoryhall.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashed := r.unreported[fingerprint]
	delete(r.unreported, fingerprint)
	return crashed
}

// ApplyDecision applies the arbiter's answer to a QueryRun of this daemon: DecisionFree clears the
// fingerprint. DecisionRefuse convicts it for a full ConvictionLifetime, because an Answer does not
// tell how much of the arbiter's conviction is left. DecisionReserved and DecisionWait do not
// change its state; the reservation itself arrives by a Notice.
func (r *Replica) ApplyDecision(fingerprint Fingerprint, decision Decision, now time.Time) {
	switch decision {
	case DecisionFree:
		r.Apply(Notice{Cleared: []Fingerprint{fingerprint}}, now)
	case DecisionRefuse:
		r.Apply(Notice{Convicted: []Fingerprint{fingerprint}}, now)
	case DecisionReserved, DecisionWait:
	}
}

// Apply applies a notice of the arbiter. Later notices neither revoke nor prolong a conviction.
// Released endpoints are applied before reserved ones, because a notice lists an endpoint in both
// when a reservation was renewed.
func (r *Replica) Apply(notice Notice, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, fingerprint := range notice.Cleared {
		if r.states[fingerprint].state != StateConvicted {
			delete(r.states, fingerprint)
		}
	}
	for _, fingerprint := range notice.Suspects {
		if r.states[fingerprint].state != StateConvicted {
			r.states[fingerprint] = stateEntry{state: StateSuspect, expiresAt: now.Add(suspicionLifetime)}
		}
	}
	for _, fingerprint := range notice.Convicted {
		if r.states[fingerprint].state != StateConvicted {
			r.states[fingerprint] = stateEntry{state: StateConvicted, expiresAt: now.Add(ConvictionLifetime)}
		}
	}
	for _, endpoint := range notice.Released {
		delete(r.reserved, endpoint)
	}
	for _, endpoint := range notice.Reserved {
		r.reserved[endpoint] = now.Add(reservationLifetime)
	}
}

// Convictions returns the convictions with their remaining times, rounded down to seconds so that
// an exchange between daemons never prolongs one.
func (r *Replica) Convictions(now time.Time) Convictions {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all Convictions
	for fingerprint, entry := range r.states {
		if left := int64(entry.expiresAt.Sub(now) / time.Second); entry.state == StateConvicted && left > 0 {
			all.Convicted = append(all.Convicted, Conviction{Fingerprint: fingerprint, Seconds: left})
		}
	}
	slices.SortFunc(all.Convicted, func(a, b Conviction) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Counts returns the numbers of suspects, convictions and reserved endpoints.
func (r *Replica) Counts(now time.Time) (suspects, convicted, reserved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, entry := range r.states {
		if entry.state == StateConvicted {
			convicted++
		} else {
			suspects++
		}
	}
	return suspects, convicted, len(r.reserved)
}

// Merge adds the convictions of another daemon with their remaining times. It does not change
// convictions that are already known here.
func (r *Replica) Merge(convictions Convictions, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range convictions.Convicted {
		left := min(time.Duration(c.Seconds)*time.Second, ConvictionLifetime)
		if r.states[c.Fingerprint].state != StateConvicted && left > 0 {
			r.states[c.Fingerprint] = stateEntry{state: StateConvicted, expiresAt: now.Add(left)}
		}
	}
}

// expire removes states and reservations that have expired, and crashes of fingerprints that are no
// longer suspect.
func (r *Replica) expire(now time.Time) {
	maps.DeleteFunc(r.states, func(_ Fingerprint, entry stateEntry) bool { return !now.Before(entry.expiresAt) })
	maps.DeleteFunc(r.unreported, func(f Fingerprint, _ []chicoryhall.EndpointID) bool { return r.states[f].state != StateSuspect })
	maps.DeleteFunc(r.reserved, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
}

// ReservedEndpoints returns the endpoints that are reserved for suspects, sorted.
func (r *Replica) ReservedEndpoints(now time.Time) []chicoryhall.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.reserved) == 0 {
		return nil
	}
	r.expire(now)
	return slices.Sorted(maps.Keys(r.reserved))
}

// ArbiterOf returns the daemon that acts as the arbiter: the one whose ID has the highest hash
// among this daemon and the members that it sees alive. Daemons with the same view choose the same
// arbiter.
func ArbiterOf(members chicoryhall.Members) chicoryhall.DaemonID {
	arbiter := members.Self().ID
	highest := xxhash.Sum64String(string(arbiter))
	for _, member := range members.Others() {
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		if hash := xxhash.Sum64String(string(member.ID)); hash > highest {
			arbiter, highest = member.ID, hash
		}
	}
	return arbiter
}
