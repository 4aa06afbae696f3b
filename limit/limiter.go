package limit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

const (
	// LoanRequestPeriod is how often a daemon requests loans for its shortfall.
	LoanRequestPeriod = time.Second
	// LoanLifetime is how long a loan is valid.
	LoanLifetime = 3 * time.Second
	// BurstWindow is the time over which unused tokens accumulate.
	BurstWindow = time.Second
	// MinBurst is the smallest burst of a daemon, in requests.
	MinBurst = 1.0
	// maxPeersPerPeriod bounds the peers to which loan requests are sent in one period.
	maxPeersPerPeriod = 2
	// demandWeight is the weight of the latest period in the mean demand.
	demandWeight = 0.5
	// headroom is multiplied by a daemon's mean demand to get the rate that it needs.
	headroom = 1.25
)

// limitID identifies the rate limit of an organisation at a service.
type limitID struct {
	service      chicoryhall.ServiceName
	organisation chicoryhall.Organisation
}

// Limiter enforces one daemon's part of all rate limits. It is safe for concurrent use.
type Limiter struct {
	documents chicoryhall.Documents
	members   chicoryhall.Members

	mu      sync.Mutex
	random  *rand.Rand
	buckets map[limitID]*bucket
	// limitIDs maps the keys used in messages to the rate limits in the documents in force.
	limitIDs map[Key]limitID
	// indexed tells whether limitIDs has been built since the last Tick.
	indexed bool
	// nextOffset is the index, modulo the number of shortfalls, of the shortfall that comes first
	// in the next period's LoanRequests. It matters only if there are too many shortfalls for one
	// message.
	nextOffset int
}

// New returns a Limiter for the documents in force and the current members.
func New(documents chicoryhall.Documents, members chicoryhall.Members) *Limiter {
	seed := xxhash.Sum64String(string(members.Self().ID))
	return &Limiter{
		documents: documents,
		members:   members,
		random:    rand.New(rand.NewPCG(seed, seed)),
		buckets:   make(map[limitID]*bucket),
		limitIDs:  make(map[Key]limitID),
	}
}

// lookup returns the rate limit with the given Key. It reads the documents at most once between two
// calls of Tick.
func (l *Limiter) lookup(wanted Key) (limitID, bool) {
	if !l.indexed {
		l.indexLimits()
	}
	id, ok := l.limitIDs[wanted]
	return id, ok
}

// indexLimits builds limitIDs from the documents in force.
func (l *Limiter) indexLimits() {
	l.indexed = true
	clear(l.limitIDs)
	for _, current := range l.documents.All() {
		for _, organisation := range current.Document.Organisations {
			if organisation.RequestsPerSecond > 0 {
				service := current.Document.Service
				l.limitIDs[KeyOf(service, organisation.Name)] = limitID{service, organisation.Name}
			}
		}
	}
}

// Allow reports whether a request of the organisation may pass now, and if not, after what time to
// try again. Requests of an organisation without a limit always pass.
func (l *Limiter) Allow(service chicoryhall.ServiceName, organisation chicoryhall.Organisation, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := limitID{service, organisation}
	b := l.buckets[id]
	if b == nil {
		base, limited := l.base(id)
		if !limited {
			return true, 0
		}
		b = newBucket(base, now)
		l.buckets[id] = b
	}
	return b.take(now)
}

// base returns this daemon's part of a rate limit: the part of one failure domain, divided by the
// daemons of this domain that are not known to be dead. The domains are those of all members, dead
// ones included, and of the service's endpoints, so that a domain that is cut off from the others
// does not take over their parts. It returns false if there is no limit.
func (l *Limiter) base(id limitID) (float64, bool) {
	current, ok := l.documents.Current(id.service)
	if !ok {
		return 0, false
	}
	rate := rateOf(current.Document, id.organisation)
	if rate <= 0 {
		return 0, false
	}
	self := l.members.Self()
	domains := []chicoryhall.FailureDomain{self.FailureDomain}
	daemons := 1
	for _, member := range l.members.Others() {
		domains = appendUnique(domains, member.FailureDomain)
		if member.FailureDomain == self.FailureDomain && member.State != chicoryhall.MemberDead {
			daemons++
		}
	}
	for _, endpoint := range current.Document.Endpoints {
		domains = appendUnique(domains, endpoint.FailureDomain)
	}
	return rate / float64(len(domains)) / float64(daemons), true
}

// rateOf returns the organisation's rate limit over all daemons, or 0 if it has none.
func rateOf(document *chicoryhall.Document, organisation chicoryhall.Organisation) float64 {
	for _, config := range document.Organisations {
		if config.Name == organisation {
			return config.RequestsPerSecond
		}
	}
	return 0
}

// appendUnique appends a domain unless the list contains it.
func appendUnique(domains []chicoryhall.FailureDomain, domain chicoryhall.FailureDomain) []chicoryhall.FailureDomain {
	if slices.Contains(domains, domain) {
		return domains
	}
	return append(domains, domain)
}

// Tick updates the mean demands and the base rates and removes idle buckets. Call it every
// LoanRequestPeriod.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.indexed = false
	for id, b := range l.buckets {
		base, limited := l.base(id)
		if !limited || b.idle(now) {
			delete(l.buckets, id)
			continue
		}
		b.observe(now)
		b.setBase(base, now)
	}
}

// LoanRequests returns the loan requests to send now, keyed by recipient. The recipients are random
// daemons of this failure domain. Each is asked for the whole shortfall, in case the others cannot
// lend, so together they may lend more than was needed.
func (l *Limiter) LoanRequests() map[chicoryhall.DaemonID]LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rates Rates
	for id, b := range l.buckets {
		if shortfall := b.shortfall(); shortfall > 0 {
			rates = append(rates, Rate{Key: KeyOf(id.service, id.organisation), PerSecond: shortfall})
		}
	}
	if len(rates) == 0 {
		return nil
	}
	rates = l.batch(rates)
	requests := make(map[chicoryhall.DaemonID]LoanRequest)
	for _, peer := range l.randomPeers() {
		requests[peer] = LoanRequest{From: l.members.Self().ID, Rates: rates}
	}
	return requests
}

// batch returns as many of the rates as one LoanRequest may hold, starting after those that the
// last batch returned.
func (l *Limiter) batch(rates Rates) Rates {
	slices.SortFunc(rates, func(a, b Rate) int { return cmp.Compare(a.Key, b.Key) })
	if len(rates) <= maxRates {
		return rates
	}
	first := l.nextOffset % len(rates)
	l.nextOffset += maxRates
	return append(slices.Clone(rates[first:]), rates[:first]...)[:maxRates]
}

// randomPeers returns up to maxPeersPerPeriod random daemons of this failure domain.
func (l *Limiter) randomPeers() []chicoryhall.DaemonID {
	var peers []chicoryhall.DaemonID
	self := l.members.Self()
	for _, member := range l.members.Others() {
		if member.FailureDomain == self.FailureDomain && member.State == chicoryhall.MemberAlive {
			peers = append(peers, member.ID)
		}
	}
	l.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxPeersPerPeriod, len(peers))]
}

// Lend answers a peer's LoanRequest with loans of what this daemon does not need itself.
func (l *Limiter) Lend(request LoanRequest, now time.Time) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	var grant Grant
	for _, wanted := range request.Rates {
		id, ok := l.lookup(wanted.Key)
		if !ok || !(wanted.PerSecond > 0) { // also refuses NaN
			continue
		}
		base, limited := l.base(id)
		if !limited {
			continue
		}
		b := l.buckets[id]
		if b == nil {
			b = newBucket(base, now)
			b.tokens = 0 // No initial burst, unlike in Allow: no request has arrived here yet.
			l.buckets[id] = b
		}
		if lent := b.lend(wanted.PerSecond, now); lent > 0 {
			grant.Loans = append(grant.Loans, Rate{Key: wanted.Key, PerSecond: lent})
		}
	}
	return grant
}

// Receive adds the loans granted by a peer. Their lifetime starts at requestedAt, which the caller
// takes just before it sends the request.
func (l *Limiter) Receive(grant Grant, requestedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, granted := range grant.Loans {
		id, _ := l.lookup(granted.Key)
		if b := l.buckets[id]; b != nil && granted.PerSecond > 0 {
			b.borrow(granted.PerSecond, requestedAt.Add(LoanLifetime), now)
		}
	}
}
