package idempotency

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// KeyLifetime is how long after the decision a key identifies its request.
	KeyLifetime = 10 * time.Minute
	// maxDecisions bounds the decisions that are remembered, in which a key counts once for each decision on it and a
	// released key counts too.
	maxDecisions = 200_000
)

// Key is an idempotency key. Keys of different organisations or services are different even if their texts are equal.
type Key struct {
	Organisation chicoryhall.Organisation `json:"organisation"`
	Service      chicoryhall.ServiceName  `json:"service"`
	// Text is the key as the caller sent it.
	Text string `json:"text"`
}

// Proposal proposes that a key identify a request.
type Proposal struct {
	Key Key `json:"key"`
	// Fingerprint is a hash of the content of the request; package claim gets it in hex.
	Fingerprint uint64                `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// LostRequest is a request that the proposed one may replace, because the proposer found that no daemon knows it
	// any more; usually empty.
	LostRequest chicoryhall.RequestID `json:"instead,omitempty"`
}

// Decision is the request that a key identifies.
type Decision struct {
	Request chicoryhall.RequestID `json:"request"`
	// Reused reports that the key was reused for different content: the fingerprint of its request is not that of the
	// proposed one.
	Reused bool `json:"reused,omitempty"`
}

// keyRecord is the request that a key identifies, with the fingerprint of its content and the time of the decision.
type keyRecord struct {
	request     chicoryhall.RequestID
	fingerprint uint64
	decidedAt   time.Time
}

// decidedKey is a key with the time of a decision on it.
type decidedKey struct {
	key       Key
	decidedAt time.Time
}

// Decisions holds the decisions that one daemon knows; it is safe for concurrent use.
type Decisions struct {
	mu    sync.Mutex
	byKey map[Key]keyRecord
	// order holds the keys in the order of their decisions, oldest first; a key occurs once per decision.
	order []decidedKey
}

// NewDecisions returns empty Decisions.
func NewDecisions() *Decisions {
	return &Decisions{byKey: make(map[Key]keyRecord)}
}

// Decide returns the decision on the proposal's key, and makes and stores one if there is none. It is called at the key's
// owner, at the successor if the owner can't be reached, or else at the proposing daemon. The first request proposed
// wins, until a later proposal names it as its LostRequest.
func (d *Decisions) Decide(p Proposal, now time.Time) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	known, found := d.byKey[p.Key]
	if found && known.request != p.LostRequest {
		return Decision{Request: known.request, Reused: known.fingerprint != p.Fingerprint}
	}
	d.put(p, now)
	return Decision{Request: p.Request}
}

// Record stores the winning proposal of a key that another daemon owns. It replaces any earlier decision, as
// the owner's latest decision is the valid one.
func (d *Decisions) Record(p Proposal, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.put(p, now)
}

// Release removes the decision on a key, which may then identify another request. It may be called only if the given
// request did not run, and does nothing if the key identifies another request by now.
func (d *Decisions) Release(key Key, request chicoryhall.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKey[key].request == request {
		delete(d.byKey, key)
	}
}

func (d *Decisions) put(p Proposal, now time.Time) {
	d.byKey[p.Key] = keyRecord{request: p.Request, fingerprint: p.Fingerprint, decidedAt: now}
	d.order = append(d.order, decidedKey{key: p.Key, decidedAt: now})
}

// expire removes the decisions older than KeyLifetime, and the oldest ones until there are fewer than maxDecisions.
func (d *Decisions) expire(now time.Time) {
	for len(d.order) > 0 {
		oldest := d.order[0]
		if now.Sub(oldest.decidedAt) < KeyLifetime && len(d.order) < maxDecisions {
			return
		}
		d.order = d.order[1:]
		if d.byKey[oldest.key].decidedAt.Equal(oldest.decidedAt) { // Otherwise the key was decided again later.
			delete(d.byKey, oldest.key)
		}
	}
}
