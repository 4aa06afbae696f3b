package hall

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageRows is the maximum number of rows in one answer.
	pageRows = 500
	// keptChanges is the number of changes kept in the history. A feed request for older changes is answered with 410.
	keptChanges = 4096
	// longestWait bounds how long a feed request waits for changes.
	longestWait = 30 * time.Second
)

// row is a row of the store as transferred.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"resourceVersion"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, key string }

// rowsAnswer is the response to all calls about rows.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Version int64 `json:"resourceVersion"`
	NowMs   int64 `json:"nowMs"`
}

// StoreFaults are the faults injected into the store.
type StoreFaults struct {
	// Refuse answers every call with status 503. Silent leaves all calls unanswered.
	Refuse bool `json:"refuse"`
	Silent bool `json:"silent"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers closes the connection instead of answering, for every second write that took effect.
	LoseAnswers bool `json:"loseAnswers"`
}

// Store is the platform's store: tables of rows with versions, conditional writes and a change feed.
type Store struct {
	startTime time.Time
	calls     *callRates

	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	// compacted is the version up to which changes are no longer kept.
	compacted int64
	version   int64
	writes    int // successful writes while LoseAnswers is set
	// era counts the restores. copied is the copy that the next one restores.
	era     int64
	copied  storeCopy
	faults  StoreFaults
	changed chan struct{} // closed at the next change
}

// storeCopy is a copy of a store's rows.
type storeCopy struct {
	rows    map[rowKey]row
	version int64
}

// NewStore returns an empty store that answers calls at the given rates.
func NewStore(rates StoreRates) *Store {
	return &Store{startTime: time.Now(), calls: &callRates{rates: rates}, rows: make(map[rowKey]row), changed: make(chan struct{})}
}

// Put writes a row without conditions, as the operator and endpoints do.
func (s *Store) Put(table, key string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.PutBytes(table, key, text)
	return nil
}

// PutBytes is Put with any value, as another writer may leave it.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyFeeds()
}

// Drop removes a row.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, present := s.rows[rowKey{table, key}]; present {
		s.version++
		s.write(row{Table: table, Key: key, Version: s.version, Removed: true})
		s.notifyFeeds()
	}
}

// Keep removes all rows of a table but those with the given keys.
func (s *Store) Keep(table string, keys map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range maps.Clone(s.rows) {
		if key.table == table && !keys[key.key] {
			s.version++
			s.write(row{Table: table, Key: key.key, Version: s.version, Removed: true})
		}
	}
	s.notifyFeeds()
}

// SetFaults replaces the store's faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Compact drops the history, so that feeds have to read their tables anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.compacted = nil, s.version
	s.notifyFeeds()
}

// Copy copies the rows for a later Restore.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = storeCopy{rows: maps.Clone(s.rows), version: s.version}
}

// Restore replaces the rows by those of the last Copy. Later versions are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = maps.Clone(s.copied.rows), s.copied.version
	s.changes, s.compacted = nil, s.version
	s.era++
	s.notifyFeeds()
}

// write applies one change. The caller holds s.mu.
func (s *Store) write(change row) {
	key := rowKey{change.Table, change.Key}
	if change.Removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = change
	}
	s.changes = append(s.changes, change)
	if len(s.changes) > keptChanges {
		s.compacted = s.changes[0].Version
		s.changes = s.changes[1:]
	}
}

// notifyFeeds wakes all waiting feed requests. The caller holds s.mu.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers calls about rows.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	switch {
	case !s.calls.take(isWrite(r), time.Now()):
		w.WriteHeader(http.StatusTooManyRequests)
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

// transaction is the body of a write. It takes effect only if all conditions hold.
type transaction struct {
	Conditions []row `json:"precondition"`
	Writes     []row `json:"setKeys"`
	Removals   []row `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, faults StoreFaults) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(tx.Writes, tx.Removals...) {
		// Daemons must not write the tables of the operator and of the endpoints.
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status, answer := s.apply(tx)
	if faults.LoseAnswers && status == http.StatusOK && s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

// loseAnswer returns true at every second call.
func (s *Store) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.writes%2 == 0
}

// apply executes a transaction and returns the status and the answer. If a condition does not hold, the answer contains
// the current rows of all conditions.
func (s *Store) apply(tx transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.emptyAnswer()
	holds := true
	for _, condition := range tx.Conditions {
		current := s.rows[rowKey{condition.Table, condition.Key}]
		holds = holds && current.Version == condition.Version
		if current.Version > 0 {
			answer.Rows = append(answer.Rows, current)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, answer
	}
	s.version++
	for _, written := range tx.Writes {
		written.Version = s.version
		s.write(written)
	}
	for _, removed := range tx.Removals {
		s.write(row{Table: removed.Table, Key: removed.Key, Version: s.version, Removed: true})
	}
	s.notifyFeeds()
	return http.StatusOK, s.emptyAnswer()
}

// emptyAnswer returns an answer without rows. The caller holds s.mu.
func (s *Store) emptyAnswer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, NowMs: time.Since(s.startTime).Milliseconds()}
}

// get answers with the rows of a range of keys.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := pageRows
	if requested, err := strconv.Atoi(query.Get("limit")); err == nil && requested > 0 {
		limit = min(limit, requested)
	}
	s.mu.Lock()
	answer := s.emptyAnswer()
	for key, current := range s.rows {
		if key.table == query.Get("table") && key.key >= query.Get("from") && (query.Get("to") == "" || key.key < query.Get("to")) {
			answer.Rows = append(answer.Rows, current)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	reply(w, http.StatusOK, answer)
}

// feed answers with the changes of a table after a version. It waits for a change if there is none yet.
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
		answer, isIncomplete, changed := s.since(query.Get("table"), after)
		s.mu.Unlock()
		switch {
		case isIncomplete:
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

// since returns the changes of a table after a version. isIncomplete is set if the history does not contain all changes
// after that version, or not that version. changed is closed at the next change. The caller holds s.mu.
func (s *Store) since(table string, after int64) (answer rowsAnswer, isIncomplete bool, changed <-chan struct{}) {
	answer = s.emptyAnswer()
	for _, change := range s.changes {
		if change.Version > after && change.Table == table {
			answer.Rows = append(answer.Rows, change)
		}
	}
	return answer, after < s.compacted || after > s.version, s.changed
}

// reply answers with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // On a write error the caller sees an incomplete answer.
}
