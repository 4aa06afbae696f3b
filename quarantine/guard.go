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

//go:generate go tool enumer -type=Standing -text -transform=kebab -trimprefix=Standing -output=standing_enumer.go

// Standing is what a daemon knows of a fingerprint.
type Standing int

// The standings of a fingerprint.
const (
	// StandingFree means that requests with the fingerprint may run.
	StandingFree Standing = iota
	// StandingSuspect means that they run only under a reservation of the arbiter.
	StandingSuspect
	// StandingConvicted means that they are refused.
	StandingConvicted
)

// known is a standing until a time.
type known struct {
	standing Standing
	until    time.Time
}

// Guard is what one daemon knows of suspects; it is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	known    map[Fingerprint]known
	reserved map[chicoryhall.EndpointID]time.Time
	// crashed are the crashes under each fingerprint that the arbiter has not been told of.
	crashed map[Fingerprint][]chicoryhall.EndpointID
}

// NewGuard returns a Guard that knows no suspect.
func NewGuard() *Guard {
	return &Guard{
		known:    make(map[Fingerprint]known),
		reserved: make(map[chicoryhall.EndpointID]time.Time),
		crashed:  make(map[Fingerprint][]chicoryhall.EndpointID),
	}
}

// Standing returns what is known of a fingerprint.
func (g *Guard) Standing(fingerprint Fingerprint, now time.Time) Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	k, ok := g.known[fingerprint]
	if !ok || !now.Before(k.until) {
		return StandingFree
	}
	return k.standing
}

// Suspect takes in that endpoints crashed under requests of this daemon.
func (g *Guard) Suspect(fingerprint Fingerprint, crashed []chicoryhall.EndpointID, now time.Time) {
	g.Apply(Notice{Suspects: []Fingerprint{fingerprint}}, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, engine := range crashed {
		if !slices.Contains(g.crashed[fingerprint], engine) {
			g.crashed[fingerprint] = append(g.crashed[fingerprint], engine)
		}
	}
}

// TakeCrashed returns the crashes under a fingerprint that the arbiter has not been told of, and
// forgets them; hand them to Suspect again when the arbiter could not be told.
func (g *Guard) TakeCrashed(fingerprint Fingerprint) []chicoryhall.EndpointID {
	g.mu.Lock()
	defer g.mu.Unlock()
	crashed := g.crashed[fingerprint]
	delete(g.crashed, fingerprint)
	return crashed
}

// Answered takes in the arbiter's decision on a request of this daemon.
func (g *Guard) Answered(fingerprint Fingerprint, decision Decision, now time.Time) {
	switch decision {
	case DecisionFree:
		g.Apply(Notice{Cleared: []Fingerprint{fingerprint}}, now)
	case DecisionRefuse:
		g.Apply(Notice{Convicted: []Fingerprint{fingerprint}}, now)
	case DecisionReserved, DecisionWait:
	}
}

// Apply takes in a notice of the arbiter. A conviction is never taken back by a later notice.
func (g *Guard) Apply(notice Notice, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	for _, fingerprint := range notice.Cleared {
		if g.known[fingerprint].standing != StandingConvicted {
			delete(g.known, fingerprint)
		}
	}
	for _, fingerprint := range notice.Suspects {
		if g.known[fingerprint].standing != StandingConvicted {
			g.known[fingerprint] = known{standing: StandingSuspect, until: now.Add(suspicionLifetime)}
		}
	}
	for _, fingerprint := range notice.Convicted {
		if g.known[fingerprint].standing != StandingConvicted {
			g.known[fingerprint] = known{standing: StandingConvicted, until: now.Add(ConvictionLifetime)}
		}
	}
	for _, engine := range notice.Released {
		delete(g.reserved, engine)
	}
	for _, engine := range notice.Reserved {
		g.reserved[engine] = now.Add(reservationLifetime)
	}
}

// Convicted returns the convictions with the time that is left of each.
func (g *Guard) Convicted(now time.Time) Convictions {
	g.mu.Lock()
	defer g.mu.Unlock()
	var all Convictions
	for fingerprint, k := range g.known {
		if left := int64(k.until.Sub(now) / time.Second); k.standing == StandingConvicted && left > 0 {
			all.Refused = append(all.Refused, Conviction{Fingerprint: fingerprint, Seconds: left})
		}
	}
	slices.SortFunc(all.Refused, func(a, b Conviction) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// Counts returns the numbers of suspects, of convictions and of engines reserved for suspects.
func (g *Guard) Counts(now time.Time) (suspects, convicted, reserved int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	for _, k := range g.known {
		if k.standing == StandingConvicted {
			convicted++
		} else {
			suspects++
		}
	}
	return suspects, convicted, len(g.reserved)
}

// Learn takes over convictions of another daemon; it never prolongs one.
func (g *Guard) Learn(convictions Convictions, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range convictions.Refused {
		left := min(time.Duration(c.Seconds)*time.Second, ConvictionLifetime)
		if g.known[c.Fingerprint].standing != StandingConvicted && left > 0 {
			g.known[c.Fingerprint] = known{standing: StandingConvicted, until: now.Add(left)}
		}
	}
}

func (g *Guard) expire(now time.Time) {
	maps.DeleteFunc(g.known, func(_ Fingerprint, k known) bool { return !now.Before(k.until) })
	maps.DeleteFunc(g.crashed, func(f Fingerprint, _ []chicoryhall.EndpointID) bool { return g.known[f].standing != StandingSuspect })
	maps.DeleteFunc(g.reserved, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
}

// Avoid returns the engines on which suspects run alone.
func (g *Guard) Avoid(now time.Time) []chicoryhall.EndpointID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.reserved) == 0 {
		return nil
	}
	g.expire(now)
	return slices.Sorted(maps.Keys(g.reserved))
}

// ArbiterOf returns the daemon that decides for all that see the same members alive: the one with
// the highest hash.
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
