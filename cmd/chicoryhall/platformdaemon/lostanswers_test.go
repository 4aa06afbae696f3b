package platformdaemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/settings"
)

// testHangTimeout is that of the settings of the tests.
const testHangTimeout = 2 * time.Second

// feedStore is a store of empty tables that answers calls for changes at the end of their wait, and may lose answers.
type feedStore struct {
	mu sync.Mutex
	// waiting counts the calls for changes of each table that are open, calledAt is when the last call about each one came.
	waiting  map[string]int
	calledAt map[string]time.Time
	// losesFrom is from when on answers to calls for changes are lost, by table. refuses is set if writes get 503.
	losesFrom map[string]time.Time
	refuses   bool
}

func newFeedStore() *feedStore {
	return &feedStore{waiting: make(map[string]int), calledAt: make(map[string]time.Time), losesFrom: make(map[string]time.Time)}
}

// ServeHTTP answers a call.
func (s *feedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	refused := s.refuses && strings.HasSuffix(r.URL.Path, "rows-tx")
	s.mu.Unlock()
	if refused {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if name := query.Get("table"); name != "" {
		s.note(name, 0)
	}
	if strings.HasSuffix(r.URL.Path, "rows-feed") && !s.wait(r, query.Get("table"), query.Get("waitMs")) {
		<-r.Context().Done()
		return
	}
	_, _ = io.WriteString(w, `{"rows":[],"hasMore":false,"resourceVersion":7,"nowMs":1}`)
}

// note records that a call about a table came, and changes the number of its open calls for changes.
func (s *feedStore) note(name string, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[name] += open
	if open == 0 {
		s.calledAt[name] = time.Now()
	}
}

// wait waits as long as a call for changes asks for. It returns false if its answer is lost.
func (s *feedStore) wait(r *http.Request, name, millis string) bool {
	s.note(name, 1)
	defer s.note(name, -1)
	limit, _ := strconv.Atoi(millis)
	begun := time.Now()
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(limit) * time.Millisecond):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from, loses := s.losesFrom[name]
	return !loses || begun.After(from)
}

// awaitOpen waits until calls for changes of all tables are open.
func (s *feedStore) awaitOpen(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := !slices.ContainsFunc(platform.FollowedTables(), func(name string) bool { return s.waiting[name] == 0 })
		s.mu.Unlock()
		if open {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the daemon does not follow all tables")
		}
	}
}

// lose makes the store lose the answers to the calls for changes of a table that are open, and returns when.
func (s *feedStore) lose(name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesFrom[name] = time.Now()
	return s.losesFrom[name]
}

// awaitCall returns when a table was next asked about after a time.
func (s *feedStore) awaitCall(t *testing.T, name string, after time.Time) time.Time {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		calledAt := s.calledAt[name]
		s.mu.Unlock()
		if calledAt.After(after) {
			return calledAt
		}
		if time.Now().After(deadline) {
			t.Fatalf("table %q is not asked about", name)
		}
	}
}

// startFollowing runs a daemon without callers on a store.
func startFollowing(t *testing.T, store *feedStore) {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	own := settings.PlatformDaemon{
		ID: "d", Region: "r", FailureDomain: "f", StopTimeout: time.Second,
		Listen:  settings.PlatformDaemonListen{Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Metrics: "127.0.0.1:0"},
		Store:   settings.PlatformDaemonStore{Address: strings.TrimPrefix(server.URL, "http://"), HangTimeout: testHangTimeout},
		Retries: settings.PlatformDaemonRetries{Ratio: 0.2, Slack: 10, Window: 10 * time.Second},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(own, io.Discard, log.InfoLevel).Serve(ctx, "", nil) }()
	t.Cleanup(func() {
		stop()
		server.CloseClientConnections()
		<-ended
	})
}

// TestLostAnswerIsNoticed guards against a daemon that waits for changes of a table for long after an answer of the store was lost,
// while its calls about other tables are answered: it ran requests that others knew to crash endpoints (alerts, BUDGET), and sent
// requests to endpoints that were leaving (servers, DRAIN).
func TestLostAnswerIsNoticed(t *testing.T) {
	cases := []struct {
		table string
		limit time.Duration
	}{
		{"op", testHangTimeout},
		{"alerts", testHangTimeout},
		// An endpoint that is leaving serves on for two seconds at least.
		{"servers", testHangTimeout + 2*time.Second},
	}
	for _, c := range cases {
		t.Run(c.table, func(t *testing.T) {
			t.Parallel()
			store := newFeedStore()
			startFollowing(t, store)
			store.awaitOpen(t)
			lostAt := store.lose(c.table)
			noticedAfter := store.awaitCall(t, c.table, lostAt).Sub(lostAt)
			t.Logf("noticed after %s", noticedAfter)
			must.Less(t, c.limit, noticedAfter)
		})
	}
}

// TestFailedCallMakesAllTablesBeReadAgain guards against a daemon that trusts the open calls for changes of some tables, while a call
// about another one shows that the store is in trouble.
func TestFailedCallMakesAllTablesBeReadAgain(t *testing.T) {
	t.Parallel()
	store := newFeedStore()
	startFollowing(t, store)
	store.awaitOpen(t)
	failing := store.lose("op")
	failedAt := store.awaitCall(t, "op", failing)
	for _, name := range platform.FollowedTables() {
		must.Less(t, 300*time.Millisecond, store.awaitCall(t, name, failedAt.Add(-50*time.Millisecond)).Sub(failedAt))
	}
}
