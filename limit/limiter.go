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
	// headroom is the multiple of its mean demand that a daemon keeps for itself and requests loans for.
	headroom = 1.25
)

// rateID identifies the rate limit of an organisation at a service.
type rateID struct {
	service      chicoryhall.ServiceName
	organisation chicoryhall.Organisation
}

// Limiter enforces one daemon's part of all rate limits. It is safe for concurrent use.
type Limiter struct {
	documents chicoryhall.Documents
	members   chicoryhall.Members

	mu      sync.Mutex
	random  *rand.Rand
	buckets map[rateID]*bucket
	// rateIDs maps the Key used in messages to the rate limit in the documents in force.
	rateIDs map[Key]rateID
	// indexed tells whether rateIDs has been built since the last Tick.
	indexed bool
	// nextOffset is the position at which the next LoanRequest starts when there are more rates with
	// a shortfall than fit into one message.
	nextOffset int
}

// New returns a Limiter for the documents in force and the current members.
func New(documents chicoryhall.Documents, members chicoryhall.Members) *Limiter {
	seed := xxhash.Sum64String(string(members.Self().ID))
	return &Limiter{
		documents: documents,
		members:   members,
		random:    rand.New(rand.NewPCG(seed, seed)),
		buckets:   make(map[rateID]*bucket),
		rateIDs:   make(map[Key]rateID),
	}
}

// lookup returns the rate limit with the given Key. It reads the documents at most once between two
// calls of Tick.
func (l *Limiter) lookup(wanted Key) (rateID, bool) {
	if !l.indexed {
		l.indexRates()
	}
	id, ok := l.rateIDs[wanted]
	return id, ok
}

// indexRates builds rateIDs from the documents in force.
func (l *Limiter) indexRates() {
	l.indexed = true
	clear(l.rateIDs)
	for _, inForce := range l.documents.All() {
		for _, organisation := range inForce.Document.Organisations {
			if organisation.RequestsPerSecond > 0 {
				service := inForce.Document.Service
				l.rateIDs[KeyOf(service, organisation.Name)] = rateID{service, organisation.Name}
			}
		}
	}
}

// Allow reports whether a request of the organisation may pass now, and if not, after what time to
// try again. Requests of an organisation without a limit always pass.
func (l *Limiter) Allow(service chicoryhall.ServiceName, organisation chicoryhall.Organisation, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := rateID{service, organisation}
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
// daemons of this domain that are not known to be dead. Domains whose daemons are all dead count
// too. It returns false if there is no limit.
func (l *Limiter) base(id rateID) (float64, bool) {
	inForce, ok := l.documents.Current(id.service)
	if !ok {
		return 0, false
	}
	rate := rateOf(inForce.Document, id.organisation)
	if rate <= 0 {
		return 0, false
	}
	self := l.members.Self()
	domains := []chicoryhall.FailureDomain{self.FailureDomain}
	daemons := 1
	for _, member := range l.members.All() {
		domains = appendUnique(domains, member.FailureDomain)
		if member.FailureDomain == self.FailureDomain && member.State != chicoryhall.MemberDead {
			daemons++
		}
	}
	for _, endpoint := range inForce.Document.Endpoints {
		domains = appendUnique(domains, endpoint.FailureDomain)
	}
	return rate / float64(len(domains)) / float64(daemons), true
}

// rateOf returns the organisation's rate limit over all daemons, or 0 if it has none.
func rateOf(document *chicoryhall.Document, organisation chicoryhall.Organisation) float64 {
	for _, described := range document.Organisations {
		if described.Name == organisation {
			return described.RequestsPerSecond
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

// LoanRequests returns the loan requests to send now, by peer of this failure domain.
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
	for _, member := range l.members.All() {
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
		if !ok || !(wanted.PerSecond > 0) {
			continue
		}
		base, limited := l.base(id)
		if !limited {
			continue
		}
		b := l.buckets[id]
		if b == nil {
			b = newBucket(base, now)
			b.tokens = 0
			l.buckets[id] = b
		}
		if lent := b.lend(wanted.PerSecond, now); lent > 0 {
			grant.Loans = append(grant.Loans, Rate{Key: wanted.Key, PerSecond: lent})
		}
	}
	return grant
}

// Receive adds the loans granted by a peer. Their lifetime starts at requestedAt, a time before the
// request was sent.
func (l *Limiter) Receive(grant Grant, requestedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range grant.Loans {
		id, _ := l.lookup(loan.Key)
		if b := l.buckets[id]; b != nil && loan.PerSecond > 0 {
			b.borrow(loan.PerSecond, requestedAt.Add(LoanLifetime), now)
		}
	}
}
