package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as it is on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"@rowVersion"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: tables with one version counter, and their history.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	changed chan struct{}
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{})}
}

func nameOf(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	text = []byte(wire(string(text)))
	s.mu.Lock()
	s.version++
	s.set(row{Table: table, Key: key, Value: text, Version: s.version})
	s.wake()
	s.mu.Unlock()
}

func (s *store) set(r row) {
	if r.Removed {
		delete(s.rows, nameOf(r.Table, r.Part, r.Key))
	} else {
		s.rows[nameOf(r.Table, r.Part, r.Key)] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers the calls of daemons at an address.
func (s *store) serve() (address string, stop func()) {
	mux := http.NewServeMux()
	mux.HandleFunc(wire("GET /-/@getRows"), s.get)
	mux.HandleFunc(wire("GET /-/@feedRows"), s.feed)
	mux.HandleFunc(wire("POST /-/@writeRows"), s.transact)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(wire(string(text))))
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"hasMore"`
	Version int64 `json:"@rowVersion"`
	NowMs   int64 `json:"nowMs"`
}

func nowMs() int64 { return time.Since(begun).Milliseconds() }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	found := rowsAnswer{Rows: []row{}, Version: s.version, NowMs: nowMs()}
	for _, one := range s.rows {
		from, to := query.Get("from"), query.Get("to")
		if one.Table == query.Get("table") && one.Part == query.Get("part") && one.Key >= from && (to == "" || one.Key < to) {
			found.Rows = append(found.Rows, one)
		}
	}
	s.mu.Unlock()
	sort.Slice(found.Rows, func(i, j int) bool { return found.Rows[i].Key < found.Rows[j].Key })
	limit := 500
	if number, err := strconv.Atoi(query.Get("limit")); err == nil {
		limit = min(limit, number)
	}
	if len(found.Rows) > limit {
		found.Rows, found.HasMore = found.Rows[:limit], true
	}
	answer(w, http.StatusOK, found)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := rowsAnswer{Rows: []row{}, Version: s.version, NowMs: nowMs()}
		for _, one := range s.history {
			if one.Table == query.Get("table") && one.Version > after {
				found.Rows = append(found.Rows, one)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(found.Rows) > 0 {
			answer(w, http.StatusOK, found)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Precondition []row `json:"precondition"`
		SetKeys      []row `json:"@writes"`
		Remove       []row `json:"remove"`
	}
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal([]byte(unwire(string(text))), &call)
	}
	if err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	result := rowsAnswer{Rows: []row{}, NowMs: nowMs()}
	holds := true
	for _, wanted := range call.Precondition {
		current, known := s.rows[nameOf(wanted.Table, wanted.Part, wanted.Key)]
		if known {
			result.Rows = append(result.Rows, current)
		}
		holds = holds && current.Version == wanted.Version
	}
	if !holds {
		result.Version = s.version
		answer(w, http.StatusPreconditionFailed, result)
		return
	}
	s.version++
	for _, one := range call.SetKeys {
		one.Version = s.version
		s.set(one)
	}
	for _, one := range call.Remove {
		one.Version, one.Removed = s.version, true
		s.set(one)
	}
	s.wake()
	result.Version, result.Rows = s.version, []row{}
	answer(w, http.StatusOK, result)
}
