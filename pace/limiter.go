package pace

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// minLimit is the least limit in requests a second that is kept for an endpoint. An endpoint that states less, such as 0,
// still gets a few requests, as only its answers tell when the limit ends.
const minLimit = 0.5

// unlistedMemory is how long a limit is kept of an endpoint that is not listed any more. Its entry may be back soon.
const unlistedMemory = time.Minute

// Endpoints tells where endpoints are.
type Endpoints interface {
	// FailureDomain returns the failure domain of a listed endpoint.
	FailureDomain(id chicoryhall.EndpointID) (chicoryhall.FailureDomain, bool)
	// Subscribe calls changed when an endpoint's state or listing changes.
	Subscribe(changed func(id chicoryhall.EndpointID, state chicoryhall.EndpointState))
}

// Statement is what an answer of an endpoint says of the endpoint's limit.
type Statement struct {
	Endpoint chicoryhall.EndpointID
	Service  chicoryhall.ServiceName
	Limit    chicoryhall.StatedLimit
	// AskedAt is when the request was sent to which this is the answer.
	AskedAt time.Time
	// Refused is set if the endpoint did not run the request. Such an answer ends no limit.
	Refused bool
}

// endpointLimit is the limit that an endpoint states.
type endpointLimit struct {
	bucket
	service chicoryhall.ServiceName
	// perSecond is the number of requests a second from all daemons, statedAt when it was last stated.
	perSecond float64
	statedAt  time.Time
	// isListed is set while the endpoint is listed, which was last seen at listedAt.
	isListed bool
	listedAt time.Time
}

// Limiter keeps this daemon's part of the limits that endpoints state. It is safe for concurrent use.
type Limiter struct {
	shares    *Shares
	endpoints Endpoints
	log       *event.Logger
	// random returns a number from 0 up to 1.
	random func() float64

	mu     sync.Mutex
	limits map[chicoryhall.EndpointID]*endpointLimit
}

// New returns a Limiter that knows no limits.
func New(shares *Shares, endpoints Endpoints, log *event.Logger) *Limiter {
	l := &Limiter{
		shares: shares, endpoints: endpoints, log: log, random: rand.Float64, limits: make(map[chicoryhall.EndpointID]*endpointLimit),
	}
	endpoints.Subscribe(l.onEndpoint)
	return l
}

// Record records what an answer says. A limit holds from the first answer that states it until an answer to a request that
// was sent later states none: answers may overtake each other. An answer with an unreadable limit changes nothing.
func (l *Limiter) Record(statement Statement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	known := l.limits[statement.Endpoint]
	switch statement.Limit.Kind {
	case chicoryhall.LimitNone:
		if known != nil && !statement.Refused && statement.AskedAt.After(known.statedAt) {
			delete(l.limits, statement.Endpoint)
			l.log.Log(event.EndpointLimitEnded, "endpoint", statement.Endpoint, "service", statement.Service)
		}
	case chicoryhall.LimitStated:
		if known == nil {
			known = l.add(statement, now)
		}
		known.perSecond, known.statedAt = math.Max(minLimit, statement.Limit.PerSecond), now
	case chicoryhall.LimitUnreadable:
		if known == nil {
			l.log.Log(event.EndpointLimitUnreadable, "endpoint", statement.Endpoint, "service", statement.Service, "limit", statement.Limit.Text)
		}
	}
}

// add adds the limit of an endpoint. It starts with a random part of a token: most daemons learn of a limit at the same time,
// and should not all have the first token at the same time.
func (l *Limiter) add(statement Statement, now time.Time) *endpointLimit {
	added := &endpointLimit{bucket: bucket{tokens: l.random(), filledAt: now}, service: statement.Service, isListed: true, listedAt: now}
	l.limits[statement.Endpoint] = added
	l.log.Log(event.EndpointLimitStated, "endpoint", statement.Endpoint, "service", statement.Service,
		"limit", statement.Limit.PerSecond, "share", l.shareOf(statement.Endpoint, now))
	return added
}

// Exhausted returns the endpoints of a service to which this daemon must not send now, and the time until it may send to one
// of them again.
func (l *Limiter) Exhausted(service chicoryhall.ServiceName, now time.Time) ([]chicoryhall.EndpointID, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var exhausted []chicoryhall.EndpointID
	wait := time.Duration(0)
	for id, limit := range l.limits {
		if limit.service != service || !limit.isListed {
			continue
		}
		rate := l.fill(id, limit, now)
		if limit.tokens >= 1 {
			continue
		}
		if next := limit.untilNext(rate); len(exhausted) == 0 || next < wait {
			wait = next
		}
		exhausted = append(exhausted, id)
	}
	return exhausted, wait
}

// Take counts a request to an endpoint. It returns false if the endpoint's limit does not allow one now.
func (l *Limiter) Take(id chicoryhall.EndpointID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[id]
	if !limited {
		return true
	}
	l.fill(id, limit, now)
	return limit.take()
}

// Count returns the number of endpoints that state a limit.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits)
}

// fill adds the tokens of an endpoint since the last fill and returns their rate a second. The caller holds l.mu.
func (l *Limiter) fill(id chicoryhall.EndpointID, limit *endpointLimit, now time.Time) float64 {
	rate := limit.perSecond * l.shareOf(id, now)
	limit.bucket.fill(rate, now)
	return rate
}

// shareOf returns this daemon's part of an endpoint's limit.
func (l *Limiter) shareOf(id chicoryhall.EndpointID, now time.Time) float64 {
	domain, _ := l.endpoints.FailureDomain(id) // An unlisted endpoint is in no domain, as far as this daemon knows.
	return l.shares.Of(domain, now)
}

// onEndpoint records whether an endpoint is listed.
func (l *Limiter) onEndpoint(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.limits[id]; known != nil {
		known.isListed = state != chicoryhall.EndpointDead
	}
}

// expire forgets the limits of endpoints that have not been listed for unlistedMemory. The caller holds l.mu.
func (l *Limiter) expire(now time.Time) {
	maps.DeleteFunc(l.limits, func(_ chicoryhall.EndpointID, limit *endpointLimit) bool {
		if limit.isListed {
			limit.listedAt = now
		}
		return now.Sub(limit.listedAt) > unlistedMemory
	})
}
