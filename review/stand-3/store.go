package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store as it is transferred.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// name identifies the row.
func (r row) name() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// answer is the answer to all calls about rows.
type answer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Version int64 `json:"version"`
	NowMs   int64 `json:"nowMs"`
}

// transaction is the body of a write.
type transaction struct {
	Conditions []row `json:"precondition"`
	Writes     []row `json:"writes"`
	Removals   []row `json:"remove"`
}

// store is a sound store of the platform. It keeps its whole history.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row, as the operator and the engines do.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: text, Version: s.version})
	s.notify()
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.notify()
}

// write applies one change. The caller holds s.mu.
func (s *store) write(changed row) {
	if changed.Removed {
		delete(s.rows, changed.name())
	} else {
		s.rows[changed.name()] = changed
	}
	s.history = append(s.history, changed)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case names["get"]:
		s.get(w, r)
	case names["feed"]:
		s.feed(w, r)
	case names["transact"]:
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	body, err := json.Marshal(answer{Rows: rows, Version: version, NowMs: time.Since(s.start).Milliseconds()})
	if err != nil {
		panic(err)
	}
	_, _ = w.Write(toWire(body))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var found []row
	for _, one := range s.rows {
		if one.Table == query.Get("table") && one.Part == query.Get("part") && one.Key >= query.Get("from") {
			found = append(found, one)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	time.Sleep(4 * time.Millisecond)
	s.reply(w, http.StatusOK, found, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, one := range s.history {
			if one.Table == query.Get("table") && one.Version > after {
				found = append(found, one)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			s.reply(w, http.StatusOK, found, version)
			return
		}
		select {
		case <-changed:
		case <-until:
			s.reply(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var wanted transaction
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(fromWire(body), &wanted)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, condition := range wanted.Conditions {
		now := s.rows[condition.name()]
		if now.Version != 0 {
			current = append(current, now)
		}
		conflict = conflict || now.Version != condition.Version
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, s.version)
		return
	}
	s.version++
	for _, one := range wanted.Writes {
		one.Version = s.version
		s.write(one)
	}
	for _, one := range wanted.Removals {
		one.Version, one.Removed = s.version, true
		s.write(one)
	}
	s.notify()
	s.reply(w, http.StatusOK, nil, s.version)
}
