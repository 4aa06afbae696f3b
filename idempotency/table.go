package idempotency

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// KeyLifetime is how long after the decision a key identifies its request.
	KeyLifetime = 10 * time.Minute
	// maxKeys bounds the decisions in a Table; beyond it the oldest are removed.
	maxKeys = 200_000
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
	// Fingerprint identifies the content of the request.
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

// Table holds the decisions that one daemon knows; it is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	decisions map[Key]keyRecord
	// order holds the keys in the order of their decisions, oldest first; a key occurs once per decision.
	order []decidedKey
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{decisions: make(map[Key]keyRecord)}
}

// Decide returns the decision on the proposal's key, as the key's owner. The first proposal wins, unless its request is
// lost.
func (t *Table) Decide(p Proposal, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	known, found := t.decisions[p.Key]
	if found && known.request != p.LostRequest {
		return Decision{Request: known.request, Reused: known.fingerprint != p.Fingerprint}
	}
	t.put(p, now)
	return Decision{Request: p.Request}
}

// Record stores the winning proposal of a key that another daemon owns. It replaces any earlier decision.
func (t *Table) Record(p Proposal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.put(p, now)
}

// Release frees a key; the caller must know that its request did not run. It does nothing if the key now identifies
// another request.
func (t *Table) Release(key Key, request chicoryhall.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.decisions[key].request == request {
		delete(t.decisions, key)
	}
}

func (t *Table) put(p Proposal, now time.Time) {
	t.decisions[p.Key] = keyRecord{request: p.Request, fingerprint: p.Fingerprint, decidedAt: now}
	t.order = append(t.order, decidedKey{key: p.Key, decidedAt: now})
}

// expire removes keys older than KeyLifetime, and the oldest ones if there are maxKeys.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if now.Sub(oldest.decidedAt) < KeyLifetime && len(t.order) < maxKeys {
			return
		}
		t.order = t.order[1:]
		if t.decisions[oldest.key].decidedAt.Equal(oldest.decidedAt) { // Otherwise the key was decided again later.
			delete(t.decisions, oldest.key)
		}
	}
}
