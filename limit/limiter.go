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
	// LoanRequestPeriod is how often a daemon asks for what it lacks.
	LoanRequestPeriod = time.Second
	// LoanLifetime is how long a loan may be used.
	LoanLifetime = 3 * time.Second
	// BurstWindow is the time for which unused rate is kept.
	BurstWindow = time.Second
	// MinBurst is the least number of requests that a daemon may keep.
	MinBurst = 1.0
	// maxPeersPerPeriod bounds the peers that are asked in one period.
	maxPeersPerPeriod = 2
	// demandWeight is the weight of one period in the mean demand.
	demandWeight = 0.5
	// headroom is the factor by which a daemon keeps more than its mean demand.
	headroom = 1.25
)

// rateID names one limited rate.
type rateID struct {
	service      chicoryhall.ServiceName
	organisation chicoryhall.Organisation
}

// Limiter is one daemon's part of all limits; it is safe for concurrent use.
type Limiter struct {
	documents chicoryhall.Documents
	members   chicoryhall.Members

	mu      sync.Mutex
	random  *rand.Rand
	buckets map[rateID]*bucket
	// rateIDs finds the limited rates of the documents in force by their Key.
	rateIDs map[Key]rateID
	// indexed tells that names was made since the last Tick.
	indexed bool
	// nextOffset is where the next Ask begins when more rates are lacking than it may name.
	nextOffset int
}

// New returns a Limiter over the documents in force and the members alive.
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

// lookup returns the rate that a message means; it looks into the documents once in each period.
func (l *Limiter) lookup(wanted Key) (rateID, bool) {
	if !l.indexed {
		l.indexRates()
	}
	k, known := l.rateIDs[wanted]
	return k, known
}

// indexRates finds the limited rates of the documents in force.
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

// Allow reports whether a request of the organisation may pass now, or after what time it may.
// An organisation without a limit always passes.
func (l *Limiter) Allow(service chicoryhall.ServiceName, organisation chicoryhall.Organisation, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := rateID{service, organisation}
	b := l.buckets[k]
	if b == nil {
		base, limited := l.base(k)
		if !limited {
			return true, 0
		}
		b = newBucket(base, now)
		l.buckets[k] = b
	}
	return b.take(now)
}

// base returns this daemon's own part of a rate: an equal part for each failure domain, divided
// by the daemons of this domain that are not known to be dead.
func (l *Limiter) base(k rateID) (float64, bool) {
	inForce, ok := l.documents.InForce(k.service)
	if !ok {
		return 0, false
	}
	rate := rateOf(inForce.Document, k.organisation)
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

// rateOf returns the organisation's rate over all daemons, or 0 when it has no limit.
func rateOf(document *chicoryhall.Document, organisation chicoryhall.Organisation) float64 {
	for _, described := range document.Organisations {
		if described.Name == organisation {
			return described.RequestsPerSecond
		}
	}
	return 0
}

// appendUnique returns the domains appendUnique one more unless it is there.
func appendUnique(domains []chicoryhall.FailureDomain, domain chicoryhall.FailureDomain) []chicoryhall.FailureDomain {
	if slices.Contains(domains, domain) {
		return domains
	}
	return append(domains, domain)
}

// Tick takes one period's demand into the means and renews the bases; call it every AskPeriod.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.indexed = false
	for k, b := range l.buckets {
		base, limited := l.base(k)
		if !limited || b.idle(now) {
			delete(l.buckets, k)
			continue
		}
		b.observe(now)
		b.setBase(base, now)
	}
}

// LoanRequests returns what to ask of which peers of this failure domain now.
func (l *Limiter) LoanRequests() map[chicoryhall.DaemonID]LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wants Rates
	for k, b := range l.buckets {
		if lacking := b.shortfall(); lacking > 0 {
			wants = append(wants, Rate{Key: KeyOf(k.service, k.organisation), PerSecond: lacking})
		}
	}
	if len(wants) == 0 {
		return nil
	}
	wants = l.batch(wants)
	asks := make(map[chicoryhall.DaemonID]LoanRequest)
	for _, peer := range l.randomPeers() {
		asks[peer] = LoanRequest{From: l.members.Self().ID, Rates: wants}
	}
	return asks
}

// batch returns as many of the wants as one Ask may name, another part of them each time.
func (l *Limiter) batch(wants Rates) Rates {
	slices.SortFunc(wants, func(a, b Rate) int { return cmp.Compare(a.Key, b.Key) })
	if len(wants) <= maxRates {
		return wants
	}
	first := l.nextOffset % len(wants)
	l.nextOffset += maxRates
	return append(slices.Clone(wants[first:]), wants[:first]...)[:maxRates]
}

// randomPeers draws daemons of this failure domain.
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

// Lend answers a peer's Ask from what this daemon does not need itself.
func (l *Limiter) Lend(ask LoanRequest, now time.Time) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	var grant Grant
	for _, want := range ask.Rates {
		k, known := l.lookup(want.Key)
		if !known || !(want.PerSecond > 0) {
			continue
		}
		base, limited := l.base(k)
		if !limited {
			continue
		}
		b := l.buckets[k]
		if b == nil {
			b = newBucket(base, now)
			b.tokens = 0
			l.buckets[k] = b
		}
		if lent := b.lend(want.PerSecond, now); lent > 0 {
			grant.Loans = append(grant.Loans, Rate{Key: want.Key, PerSecond: lent})
		}
	}
	return grant
}

// Receive takes over the loans of a peer that was asked at the given time.
func (l *Limiter) Receive(grant Grant, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loan := range grant.Loans {
		k, _ := l.lookup(loan.Key)
		if b := l.buckets[k]; b != nil && loan.PerSecond > 0 {
			b.borrow(loan.PerSecond, asked.Add(LoanLifetime), now)
		}
	}
}
