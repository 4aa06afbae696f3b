package relay

import (
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// A peer that was not reached, or could not run a request of a service, gets no more for minExclusion. The time doubles
	// with each failure in a row up to maxExclusion.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 4 * time.Second
	// otherDomainWeight multiplies the load of peers in other failure domains, as bytes between domains cost more.
	otherDomainWeight = 1.5
	// unprovenWeight multiplies the load of peers that have not answered a request for the service for provenTime. Where many
	// daemons are cut off, most of them are unable.
	unprovenWeight = 4
	provenTime     = 5 * time.Second
	// maxInFlight bounds the requests that one peer has from this daemon at a time.
	maxInFlight = 256
)

// Peer is a daemon that takes requests of others.
type Peer struct {
	ID            chicoryhall.DaemonID
	Address       string
	Key           string
	FailureDomain chicoryhall.FailureDomain
}

//go:generate go tool enumer -type=Outcome -text -transform=kebab -trimprefix=Outcome -output=outcome_enumer.go

// Outcome is what a request that was handed over showed of the peer.
type Outcome int

// The outcomes.
const (
	// OutcomeNone means that it showed nothing, as the caller left or the time was over.
	OutcomeNone Outcome = iota
	// OutcomeAnswered means that the peer answered, or refused for lack of room.
	OutcomeAnswered
	// OutcomeUnable means that the peer could not run it.
	OutcomeUnable
	// OutcomeLost means that the peer was not reached or the connection broke.
	OutcomeLost
)

// exclusion is for how long a peer gets no requests.
type exclusion struct {
	until    time.Time
	failures int
}

func (e *exclusion) extend(now time.Time) {
	e.until = now.Add(min(maxExclusion, minExclusion<<min(e.failures, 8))) // Bounded to avoid an overflow.
	e.failures++
}

// ability is a service at a peer.
type ability struct {
	peer    chicoryhall.DaemonID
	service chicoryhall.ServiceName
}

// Peers chooses the daemons that take requests of this one. It is safe for concurrent use.
type Peers struct {
	members chicoryhall.Members
	domain  chicoryhall.FailureDomain

	mu       sync.Mutex
	inFlight map[chicoryhall.DaemonID]int
	// unreached and unable hold the peers that failed lately, in general and for one service.
	unreached map[chicoryhall.DaemonID]*exclusion
	unable    map[ability]*exclusion
	// answeredAt is when each peer last answered a request.
	answeredAt map[ability]time.Time
	// turn varies the choice among peers that are equally loaded.
	turn int
}

// NewPeers returns Peers without any requests in flight.
func NewPeers(members chicoryhall.Members) *Peers {
	return &Peers{
		members: members, domain: members.Self().FailureDomain, inFlight: make(map[chicoryhall.DaemonID]int),
		unreached: make(map[chicoryhall.DaemonID]*exclusion), unable: make(map[ability]*exclusion),
		answeredAt: make(map[ability]time.Time),
	}
}

// Take chooses a peer for a request, but none of the excluded ones, and counts the request there until Release. It returns
// false if there is no peer: those are the alive members that failed none of the last requests, the least loaded first.
func (p *Peers) Take(service chicoryhall.ServiceName, excluded []chicoryhall.DaemonID, now time.Time) (Peer, bool) {
	members := p.members.Others()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	best, found := Peer{}, false
	bestLoad := 0.0
	for i := range members {
		member := members[(i+p.turn)%len(members)]
		if !p.isCandidate(member, service, excluded, now) {
			continue
		}
		if load := p.load(member, service, now); !found || load < bestLoad {
			best, found, bestLoad = peerOf(member), true, load
		}
	}
	if found {
		p.inFlight[best.ID]++
	}
	return best, found
}

func peerOf(member chicoryhall.Member) Peer {
	return Peer{ID: member.ID, Address: member.PeerAddress, Key: member.PeerKey, FailureDomain: member.FailureDomain}
}

// load returns the weighted number of requests that a peer would have with one more.
func (p *Peers) load(member chicoryhall.Member, service chicoryhall.ServiceName, now time.Time) float64 {
	load := float64(p.inFlight[member.ID] + 1)
	if answeredAt, known := p.answeredAt[ability{peer: member.ID, service: service}]; !known || now.Sub(answeredAt) > provenTime {
		load *= unprovenWeight
	}
	if member.FailureDomain != p.domain {
		load *= otherDomainWeight
	}
	return load
}

func (p *Peers) isCandidate(member chicoryhall.Member, service chicoryhall.ServiceName, excluded []chicoryhall.DaemonID, now time.Time) bool {
	if member.State != chicoryhall.MemberAlive || member.PeerAddress == "" || member.PeerKey == "" {
		return false
	}
	if slices.Contains(excluded, member.ID) || p.inFlight[member.ID] >= maxInFlight {
		return false
	}
	if unreached := p.unreached[member.ID]; unreached != nil && now.Before(unreached.until) {
		return false
	}
	unable := p.unable[ability{peer: member.ID, service: service}]
	return unable == nil || !now.Before(unable.until)
}

// Release ends a request at a peer. Its outcome decides whether the peer gets further ones.
func (p *Peers) Release(peer chicoryhall.DaemonID, service chicoryhall.ServiceName, outcome Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[peer]--; p.inFlight[peer] <= 0 {
		delete(p.inFlight, peer)
	}
	key := ability{peer: peer, service: service}
	switch outcome {
	case OutcomeNone:
	case OutcomeAnswered:
		delete(p.unreached, peer)
		delete(p.unable, key)
		p.answeredAt[key] = now
	case OutcomeUnable:
		delete(p.answeredAt, key)
		delete(p.unreached, peer)
		extend(p.unable, key, now)
	case OutcomeLost:
		delete(p.answeredAt, key)
		extend(p.unreached, peer, now)
	}
}

// extend extends the exclusion under a key, unless it is in force already: requests that fail together count as one failure.
func extend[K comparable](exclusions map[K]*exclusion, key K, now time.Time) {
	if exclusions[key] == nil {
		exclusions[key] = &exclusion{}
	}
	if !now.Before(exclusions[key].until) {
		exclusions[key].extend(now)
	}
}
