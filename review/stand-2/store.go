package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for each answer.
const answerTime = 4 * time.Millisecond

// maxRows is the largest number of rows in one answer.
const maxRows = 500

// row is a row of the store. protocol.go encodes it.
type row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	Removed bool
}

type rowKey struct{ table, part, key string }

func (r *row) at() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// call is a call of a daemon to the store.
type call struct {
	daemon int
	path   string
	table  string
	// rows are those of the answer.
	rows []row
}

// store is a stand-in of the platform's store. Each daemon has an address of its own there, so that disruptions can concern single
// ones; all see the same rows.
type store struct {
	started time.Time
	servers []*http.Server

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	// loses decides whether the answer to a call is lost. refuses decides whether a call is refused with 503. hangs decides whether it
	// gets no answer and nothing is done.
	loses, refuses, hangs func(call) bool
}

func newStore() *store {
	never := func(call) bool { return false }
	return &store{
		started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{}), loses: never, refuses: never, hangs: never,
	}
}

// open gives a daemon an address and returns it.
func (s *store) open(daemon int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(daemon, w, r) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// disrupt sets what is lost, refused and left hanging. A nil function stands for nothing.
func (s *store) disrupt(loses, refuses, hangs func(call) bool) {
	never := func(call) bool { return false }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loses, s.refuses, s.hangs = never, never, never
	if loses != nil {
		s.loses = loses
	}
	if refuses != nil {
		s.refuses = refuses
	}
	if hangs != nil {
		s.hangs = hangs
	}
}

// answer is the body of each answer.
type answer struct {
	Rows    []row
	HasMore bool
	Version int64
	NowMs   int64
}

func (s *store) handle(daemon int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	made := call{daemon: daemon, path: r.URL.Path, table: query.Get("table")}
	var tx transaction
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		made.table = tx.table()
	}
	s.mu.Lock()
	refuses, hangs := s.refuses(made), s.hangs(made)
	s.mu.Unlock()
	if hangs {
		<-r.Context().Done()
		return
	}
	if refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime)
	status, body := http.StatusNotFound, answer{}
	switch r.URL.Path {
	case path("transact"):
		status, body = s.transact(tx)
	case path("get"):
		status, body = s.get(query.Get("table"), query.Get("part"), query.Get("from"))
	case path("feed"):
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		status, body = s.feed(r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	made.rows = body.Rows
	s.mu.Lock()
	loses := s.loses(made)
	s.mu.Unlock()
	if loses { // The channel delivers nothing further.
		<-r.Context().Done()
		return
	}
	body.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// transaction is the body of a call that writes.
type transaction struct {
	Conditions, Writes, Removals []row
}

// table returns the table of the first entry.
func (t *transaction) table() string {
	for _, entries := range [][]row{t.Writes, t.Removals, t.Conditions} {
		if len(entries) > 0 {
			return entries[0].Table
		}
	}
	return ""
}

func (s *store) transact(tx transaction) (int, answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, condition := range tx.Conditions {
		found := s.rows[condition.at()]
		holds = holds && found.Version == condition.Version
		if found.Version > 0 {
			current = append(current, found)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, answer{Rows: current, Version: s.version}
	}
	s.version++
	for _, one := range tx.Writes {
		one.Version = s.version
		s.rows[one.at()] = one
		s.history = append(s.history, one)
	}
	for _, one := range tx.Removals {
		if _, exists := s.rows[one.at()]; exists {
			delete(s.rows, one.at())
			one.Version, one.Removed, one.Value = s.version, true, nil
			s.history = append(s.history, one)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, answer{Version: s.version}
}

// put writes a row, as the operator and the engines do, and returns when the store has acknowledged it.
func (s *store) put(table, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.transact(transaction{Writes: []row{{Table: table, Key: key, Value: text}}})
	return time.Now()
}

func (s *store) drop(table, key string) time.Time {
	s.transact(transaction{Removals: []row{{Table: table, Key: key}}})
	return time.Now()
}

func (s *store) get(table, part, from string) (int, answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := answer{Rows: []row{}, Version: s.version}
	for key, one := range s.rows {
		if key.table == table && key.part == part && key.key >= from {
			found.Rows = append(found.Rows, one)
		}
	}
	slices.SortFunc(found.Rows, func(a, b row) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	if len(found.Rows) > maxRows {
		found.Rows, found.HasMore = found.Rows[:maxRows], true
	}
	return http.StatusOK, found
}

func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) (int, answer) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		found := answer{Rows: []row{}, Version: s.version}
		latest := make(map[rowKey]int)
		for _, one := range s.history {
			if one.Table != table || one.Version <= after {
				continue
			}
			if at, known := latest[one.at()]; known {
				found.Rows[at].Table = "" // An older version of the same row.
			}
			latest[one.at()] = len(found.Rows)
			found.Rows = append(found.Rows, one)
		}
		changed := s.changed
		s.mu.Unlock()
		found.Rows = slices.DeleteFunc(found.Rows, func(one row) bool { return one.Table == "" })
		if len(found.Rows) > 0 {
			return http.StatusOK, found
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, found
		case <-r.Context().Done():
			return http.StatusOK, found
		}
	}
}
