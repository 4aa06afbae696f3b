package retry

import (
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// A daemon keeps offerDivisor-1 parts in offerDivisor of what is left to it, and at least keptRetries: when an endpoint fails, all
	// of its requests there need retries at once, sooner than an exchange may bring any. As the last offer counts as spent until
	// the reply, a quarter is on offer all the time.
	offerDivisor = 3
	keptRetries  = 2
	// needSlot is the length of the two periods by which the need of a daemon is known.
	needSlot = time.Second
	// minOffer is the least offer worth a charge.
	minOffer = 0.05
)

// account is what a daemon has lent and borrowed of one service's retries.
type account struct {
	// charges are what others may spend, or have spent, of this daemon's share.
	charges []charge
	loans   []loan
	// need and needBefore count the retries asked for in the present needSlot and in the one before.
	slot             int64
	need, needBefore float64
}

// charge counts against the share of the lender until the last retry that it may stand for has left the window.
type charge struct {
	// number is that of the request with the offer, or 0 once it is known how much of it was lent.
	number int64
	amount float64
	until  time.Time
}

// loan is a number of retries that a daemon may spend beyond its share.
type loan struct {
	left  int
	until time.Time
}

// source is the daemon that was asked last, with what its reply said of its time.
type source struct {
	id         chicoryhall.DaemonID
	epoch      int64
	asOfMillis int64
	// receivedAt is when that reply came.
	receivedAt time.Time
}

// LoanStats counts retries since the start of a daemon.
type LoanStats struct {
	// Borrowed were granted to this daemon, Spent of them it has used, and Lent were granted to others from its offers.
	Borrowed, Spent int
	Lent            float64
}

// advance brings the account to now.
func (a *account) advance(now time.Time) {
	a.charges = slices.DeleteFunc(a.charges, func(c charge) bool { return c.amount == 0 || !now.Before(c.until) })
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return l.left == 0 || !now.Before(l.until) })
	switch slot := now.UnixNano() / int64(needSlot); {
	case slot == a.slot+1:
		a.slot, a.needBefore, a.need = slot, a.need, 0
	case slot > a.slot:
		a.slot, a.needBefore, a.need = slot, 0, 0
	}
}

func (a *account) lent() float64 {
	sum := 0.0
	for _, c := range a.charges {
		sum += c.amount
	}
	return sum
}

func (a *account) borrowed() int {
	sum := 0
	for _, l := range a.loans {
		sum += l.left
	}
	return sum
}

// spend spends one borrowed retry, of the loan that ends first.
func (a *account) spend() {
	first := 0
	for i, l := range a.loans {
		if l.left > 0 && (a.loans[first].left == 0 || l.until.Before(a.loans[first].until)) {
			first = i
		}
	}
	a.loans[first].left--
}

// SubscribeShort registers a function that is called when a service has no retry left here. It must not block.
func (b *SlidingBudgets) SubscribeShort(short func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.short = short
}

// LoanStats returns what was borrowed and lent so far.
func (b *SlidingBudgets) LoanStats() LoanStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// LoanRequest returns what to ask another daemon. What it offers counts as spent, until the reply to a later request says how much
// of it was lent, or no retry may come of it any more.
func (b *SlidingBudgets) LoanRequest(to chicoryhall.DaemonID, now time.Time) LoanRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loanNumber++
	request := LoanRequest{Number: b.loanNumber, Offers: make(map[chicoryhall.ServiceName]float64), Wants: make(map[chicoryhall.ServiceName]int)}
	// The asked daemon would ignore an offer by an old reply.
	mayOffer := b.source.id == to && b.source.epoch != 0 && now.Sub(b.source.receivedAt) < loanLifetime/2
	if mayOffer {
		request.Epoch, request.AsOfMillis = b.source.epoch, b.source.asOfMillis
	}
	for service := range b.byService {
		current, own := b.windowAt(service, now), b.accountAt(service, now)
		need := own.need + own.needBefore
		if want := math.Ceil(2*need - b.leftOf(current, own, now) - float64(own.borrowed())); want > 0 {
			request.Wants[service] = int(want)
		}
		lendable := b.lendable(current, own, now)
		if offered := min(lendable/offerDivisor, lendable-keptRetries-need); mayOffer && offered >= minOffer {
			request.Offers[service] = offered
			own.charges = append(own.charges, charge{number: request.Number, amount: offered, until: now.Add(2*loanLifetime + b.limits.Window)})
		}
	}
	return request
}

// ApplyLoans applies the reply of a daemon to a request that was made at sentAt.
func (b *SlidingBudgets) ApplyLoans(from chicoryhall.DaemonID, reply LoanReply, sentAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.source = source{id: from, epoch: reply.Epoch, asOfMillis: reply.AsOfMillis, receivedAt: now}
	for service, own := range b.accounts {
		for i := range own.charges {
			if c := &own.charges[i]; c.number != 0 && c.number == reply.Closed {
				c.amount = max(0, min(c.amount, reply.Used[service]))
				c.number = 0
				b.stats.Lent += c.amount
			}
		}
	}
	for service, granted := range reply.Granted {
		if until := sentAt.Add(loanLifetime); granted > 0 && now.Before(until) {
			own := b.accountAt(service, now)
			own.loans = append(own.loans, loan{left: granted, until: until})
			b.stats.Borrowed += granted
		}
	}
}

// accountAt returns a service's account, advanced to now.
func (b *SlidingBudgets) accountAt(service chicoryhall.ServiceName, now time.Time) *account {
	own := b.accounts[service]
	if own == nil {
		own = &account{}
		b.accounts[service] = own
	}
	own.advance(now)
	return own
}

// leftOf returns how many retries are left of this daemon's own share.
func (b *SlidingBudgets) leftOf(current *window, own *account, now time.Time) float64 {
	requests, retries := current.sums()
	return b.limits.Ratio*requests + b.slackPart(now) - retries - own.lent()
}

// lendable returns what is left of this daemon's share without the requests that leave the window before a loan ends.
func (b *SlidingBudgets) lendable(current *window, own *account, now time.Time) float64 {
	bucketLength := max(1, b.limits.Window/windowBuckets)
	leaving := current.oldestRequests(int((2*loanLifetime + bucketLength - 1) / bucketLength))
	return b.leftOf(current, own, now) - b.limits.Ratio*leaving
}

// oldestRequests returns the requests in the given number of the oldest buckets that sums counts.
func (w *window) oldestRequests(buckets int) float64 {
	sum := 0.0
	for i := range min(buckets, windowBuckets) {
		sum += w.buckets[(w.newestBucket+2+int64(i))%int64(len(w.buckets))].requests
	}
	return sum
}
