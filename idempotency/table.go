package idempotency

import (
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// Lifetime is how long a key names its request.
	Lifetime = 10 * time.Minute
	// maxKeys bounds the keys of one owner; the oldest ones make room.
	maxKeys = 200_000
)

// Key is an idempotency key as an organisation uses it with a service.
type Key struct {
	Organisation chicoryhall.Organisation `json:"organisation"`
	Service      chicoryhall.ServiceName  `json:"service"`
	Text         string                   `json:"text"`
}

// Proposal asks for a key to name a request.
type Proposal struct {
	Key         Key                   `json:"key"`
	Fingerprint uint64                `json:"fingerprint"`
	Request     chicoryhall.RequestID `json:"request"`
	// Instead is a request that the key names and that no daemon knows any more, or empty.
	Instead chicoryhall.RequestID `json:"instead,omitempty"`
}

// Decision tells which request a key names.
type Decision struct {
	Request chicoryhall.RequestID `json:"request"`
	// Reused tells that the request has other content than the proposed one.
	Reused bool `json:"reused,omitempty"`
}

// entry is what a key names.
type entry struct {
	request     chicoryhall.RequestID
	fingerprint uint64
	at          time.Time
}

// aged is a key in the order of its decision.
type aged struct {
	key Key
	at  time.Time
}

// Table holds the decisions of one owner; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[Key]entry
	order   []aged
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: make(map[Key]entry)}
}

// Decide lets the first proposal for a key win.
func (t *Table) Decide(p Proposal, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	known, found := t.entries[p.Key]
	if found && known.request != p.Instead {
		return Decision{Request: known.request, Reused: known.fingerprint != p.Fingerprint}
	}
	t.put(p, now)
	return Decision{Request: p.Request}
}

// Learn takes in another owner's decision.
func (t *Table) Learn(p Proposal, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.put(p, now)
}

// Release frees a key whose request was not run.
func (t *Table) Release(key Key, request chicoryhall.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[key].request == request {
		delete(t.entries, key)
	}
}

func (t *Table) put(p Proposal, now time.Time) {
	t.entries[p.Key] = entry{request: p.Request, fingerprint: p.Fingerprint, at: now}
	t.order = append(t.order, aged{key: p.Key, at: now})
}

// expire forgets old keys, and the oldest ones above maxKeys.
func (t *Table) expire(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if now.Sub(oldest.at) < Lifetime && len(t.order) < maxKeys {
			return
		}
		t.order = t.order[1:]
		if t.entries[oldest.key].at.Equal(oldest.at) {
			delete(t.entries, oldest.key)
		}
	}
}
