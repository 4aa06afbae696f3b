package retry

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// loanLifetime bounds two times: how long an offer may be lent from, and how long a loan may be spent. It is several periods of
	// the exchange.
	loanLifetime = time.Second
	// grantDivisor is the part of what is offered that one request for a loan gets at most, if it is more than one retry. Other
	// daemons may ask at the same time, and the same one may ask again.
	grantDivisor = 4
	// offerRetention is how long the use of an offer is kept for its lender after the offer has expired.
	offerRetention = 10 * time.Second
)

// LoanRequest offers retries to other daemons, and asks for theirs.
type LoanRequest struct {
	// Epoch and AsOfMillis are those of the last reply of the asked daemon, or 0. They show it when the offers were made at the
	// earliest, however long the request was on its way.
	Epoch      int64 `json:"epoch"`
	AsOfMillis int64 `json:"asOfMillis"`
	// Number grows with each request of a daemon.
	Number int64                               `json:"number"`
	Offers map[chicoryhall.ServiceName]float64 `json:"offers,omitempty"`
	Wants  map[chicoryhall.ServiceName]int     `json:"wants,omitempty"`
}

// LoanReply answers a LoanRequest.
type LoanReply struct {
	// Epoch names the process that replies, and AsOfMillis is the time since it started.
	Epoch      int64 `json:"epoch"`
	AsOfMillis int64 `json:"asOfMillis"`
	// Closed is the number of an earlier request, from whose offers nothing is lent any more, and Used is what was lent.
	Closed  int64                               `json:"closed,omitempty"`
	Used    map[chicoryhall.ServiceName]float64 `json:"used,omitempty"`
	Granted map[chicoryhall.ServiceName]int     `json:"granted,omitempty"`
}

// Pool lends retries that daemons offer to those that want them. It is safe for concurrent use.
type Pool struct {
	epoch     int64
	startedAt time.Time

	mu     sync.Mutex
	offers map[chicoryhall.DaemonID]*offer
}

// offer is what a daemon has offered last.
type offer struct {
	number    int64
	expiresAt time.Time
	left      map[chicoryhall.ServiceName]float64
	used      map[chicoryhall.ServiceName]float64
	// closed is the number of the offer before, and closedUse what was lent of it.
	closed    int64
	closedUse map[chicoryhall.ServiceName]float64
}

// NewPool returns a Pool without offers. startedAt is when the process started.
func NewPool(startedAt time.Time) *Pool {
	return &Pool{epoch: 1 + rand.Int64N(math.MaxInt64-1), startedAt: startedAt, offers: make(map[chicoryhall.DaemonID]*offer)}
}

// Exchange answers a request of a daemon. A request that comes twice is answered twice, but its offers count once.
func (p *Pool) Exchange(from chicoryhall.DaemonID, request LoanRequest, now time.Time) LoanReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.offers, func(_ chicoryhall.DaemonID, o *offer) bool { return now.Sub(o.expiresAt) > offerRetention })
	p.record(from, request, now)
	reply := LoanReply{Epoch: p.epoch, AsOfMillis: now.Sub(p.startedAt).Milliseconds(), Granted: make(map[chicoryhall.ServiceName]int)}
	if known := p.offers[from]; known != nil {
		reply.Closed, reply.Used = known.closed, known.closedUse
	}
	for service, want := range request.Wants {
		if granted := p.lend(from, service, want, now); granted > 0 {
			reply.Granted[service] = granted
		}
	}
	return reply
}

// record replaces the offer of a daemon by a later one. It ignores one that was made for another process, which may have lent it.
func (p *Pool) record(from chicoryhall.DaemonID, request LoanRequest, now time.Time) {
	madeAt := p.startedAt.Add(time.Duration(request.AsOfMillis) * time.Millisecond)
	before := p.offers[from]
	if request.Epoch != p.epoch || madeAt.After(now) || before != nil && request.Number <= before.number {
		return
	}
	next := &offer{
		number: request.Number, expiresAt: madeAt.Add(loanLifetime),
		left: make(map[chicoryhall.ServiceName]float64), used: make(map[chicoryhall.ServiceName]float64),
	}
	for service, amount := range request.Offers {
		next.left[service] = max(0, amount)
	}
	if before != nil {
		next.closed, next.closedUse = before.number, before.used
	}
	p.offers[from] = next
}

// lend returns how many of the wanted retries a daemon gets. Each of the others lends in proportion to what is left of its offer.
func (p *Pool) lend(to chicoryhall.DaemonID, service chicoryhall.ServiceName, want int, now time.Time) int {
	lenders, sum := []*offer(nil), 0.0
	for id, o := range p.offers {
		if id != to && now.Before(o.expiresAt) && o.left[service] > 0 {
			lenders = append(lenders, o)
			sum += o.left[service]
		}
	}
	granted := math.Floor(min(float64(want), sum, max(1, sum/grantDivisor)))
	if granted < 1 {
		return 0
	}
	for _, o := range lenders {
		part := o.left[service] * granted / sum
		o.left[service] -= part
		o.used[service] += part
	}
	return int(granted)
}
