package hall

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageRows bounds the rows of one answer.
	pageRows = 500
	// keptChanges bounds the history behind which a feed may begin.
	keptChanges = 4096
	// longestWait bounds a feed.
	longestWait = 30 * time.Second
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"resourceVersion"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, key string }

// rowsAnswer answers every call about rows.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Version int64 `json:"resourceVersion"`
	NowMs   int64 `json:"nowMs"`
}

// StoreFaults is what the store is told to do wrong.
type StoreFaults struct {
	// Refuse answers 503 to every call, Silent none at all.
	Refuse bool `json:"refuse"`
	Silent bool `json:"silent"`
	// Delay holds every answer back.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers closes the connection behind every second write that took effect.
	LoseAnswers bool `json:"loseAnswers"`
}

// Store is the platform's store.
type Store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	// forgotten is the version behind which changes are not kept.
	forgotten int64
	version   int64
	writes    int
	faults    StoreFaults
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{began: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// Put writes a row as the operator or an endpoint does.
func (s *Store) Put(table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: text, Version: s.version})
	s.announce()
	return nil
}

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, present := s.rows[rowKey{table, key}]; present {
		s.version++
		s.write(row{Table: table, Key: key, Version: s.version, Removed: true})
		s.announce()
	}
}

// SetFaults replaces what the store does wrong.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.forgotten = nil, s.version
	s.announce()
}

// write applies one change; the lock is held.
func (s *Store) write(changed row) {
	key := rowKey{changed.Table, changed.Key}
	if changed.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = changed
	}
	s.changes = append(s.changes, changed)
	if len(s.changes) > keptChanges {
		s.forgotten = s.changes[0].Version
		s.changes = s.changes[1:]
	}
}

// announce wakes the feeds; the lock is held.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls about rows.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	switch {
	case faults.Silent:
		<-r.Context().Done()
	case faults.Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/-/rows-tx":
		s.transact(w, r, faults)
	case r.URL.Path == "/-/rows-get":
		s.get(w, r)
	case r.URL.Path == "/-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// transaction is the body of a write.
type transaction struct {
	Conditions []row `json:"precondition"`
	Writes     []row `json:"setKeys"`
	Removals   []row `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var asked transaction
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(asked.Writes, asked.Removals...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status, answer := s.apply(asked)
	if faults.LoseAnswers && status == http.StatusOK && s.loses() {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// loses tells for every second write that its answer is lost.
func (s *Store) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.writes%2 == 0
}

func (s *Store) apply(asked transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.answer()
	isMet := true
	for _, condition := range asked.Conditions {
		current := s.rows[rowKey{condition.Table, condition.Key}]
		isMet = isMet && current.Version == condition.Version
		if current.Version > 0 {
			answer.Rows = append(answer.Rows, current)
		}
	}
	if !isMet {
		return http.StatusPreconditionFailed, answer
	}
	s.version++
	for _, written := range asked.Writes {
		written.Version = s.version
		s.write(written)
	}
	for _, removed := range asked.Removals {
		s.write(row{Table: removed.Table, Key: removed.Key, Version: s.version, Removed: true})
	}
	s.announce()
	return http.StatusOK, s.answer()
}

// answer is one without rows; the lock is held.
func (s *Store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := pageRows
	if stated, err := strconv.Atoi(query.Get("limit")); err == nil && stated > 0 {
		limit = min(limit, stated)
	}
	s.mu.Lock()
	answer := s.answer()
	for key, present := range s.rows {
		if key.table == query.Get("table") && key.key >= query.Get("from") && (query.Get("to") == "" || key.key < query.Get("to")) {
			answer.Rows = append(answer.Rows, present)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	reply(w, http.StatusOK, answer)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(longestWait, time.Duration(wait)*time.Millisecond))
	defer cancel()
	for {
		s.mu.Lock()
		answer, isGone, changed := s.since(query.Get("table"), after)
		s.mu.Unlock()
		switch {
		case isGone:
			w.WriteHeader(http.StatusGone)
			return
		case len(answer.Rows) > 0 || ctx.Err() != nil:
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns the changes of a table behind a version; the lock is held.
func (s *Store) since(table string, after int64) (answer rowsAnswer, isGone bool, changed <-chan struct{}) {
	answer = s.answer()
	for _, change := range s.changes {
		if change.Version > after && change.Table == table {
			answer.Rows = append(answer.Rows, change)
		}
	}
	return answer, after < s.forgotten, s.changed
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller sees a cut answer.
}
