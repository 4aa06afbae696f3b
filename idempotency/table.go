package idempotency

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// KeyLifetime is how long a key identifies its request.
	KeyLifetime = 10 * time.Minute
	// maxKeys bounds the keys of one owner; beyond it the oldest are removed.
	maxKeys = 200_000
)

// Key is an idempotency key, unique to an organisation and a service.
type Key struct {
	Organisation chicoryhall.Organisation `json:"organisation"`
	Service      chicoryhall.ServiceName  `json:"service"`
	Text         string                   `json:"text"`
}

// Proposal proposes that a key identify a request.
type Proposal struct {
	Key         Key                   `json:"key"`
	Fingerprint uint64                `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// LostRequest is the request that the key identified so far, if no daemon knows it any more, or empty. The proposal
	// may replace it.
	LostRequest chicoryhall.RequestID `json:"instead,omitempty"`
}

// Decision is the request that a key identifies.
type Decision struct {
	Request chicoryhall.RequestID `json:"request"`
	// Reused reports that the key was reused: its request has other content than the proposed one.
	Reused bool `json:"reused,omitempty"`
}

// decision is the request that a key identifies, with the fingerprint of its content.
type decision struct {
	request     chicoryhall.RequestID
	fingerprint uint64
	decidedAt   time.Time
}

// decidedKey is an element of Table.order.
type decidedKey struct {
	key       Key
	decidedAt time.Time
}

// Table holds the decisions of one owner; it is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	decisions map[Key]decision
	// order holds the keys in the order of their decisions, oldest first; a key occurs once per decision.
	order []decidedKey
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{decisions: make(map[Key]decision)}
}

// Decide returns the decision on the proposal's key. The first proposal wins, unless its request is lost.
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

// Record stores a decision of another owner.
func (t *Table) Record(p Proposal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.put(p, now)
}

// Release frees a key whose request was not run. It does nothing if the key now identifies another request.
func (t *Table) Release(key Key, request chicoryhall.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.decisions[key].request == request {
		delete(t.decisions, key)
	}
}

func (t *Table) put(p Proposal, now time.Time) {
	t.decisions[p.Key] = decision{request: p.Request, fingerprint: p.Fingerprint, decidedAt: now}
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
		if t.decisions[oldest.key].decidedAt.Equal(oldest.decidedAt) {
			delete(t.decisions, oldest.key)
		}
	}
}
