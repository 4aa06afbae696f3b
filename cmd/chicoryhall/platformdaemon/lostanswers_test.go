package platformdaemon

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/platform/platformtest"
	"chicoryhall.example/chicoryhall/settings"
)

// testHangTimeout is that of the settings of the tests.
const testHangTimeout = 2 * time.Second

// startFollowing runs a daemon without callers on a store.
func startFollowing(t *testing.T, store *platformtest.FeedStore) {
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
			store := platformtest.NewFeedStore()
			startFollowing(t, store)
			store.AwaitOpen(t)
			lostAt := store.Lose(c.table)
			noticedAfter := store.AwaitCall(t, c.table, lostAt).Sub(lostAt)
			t.Logf("noticed after %s", noticedAfter)
			must.Less(t, c.limit, noticedAfter)
		})
	}
}

// TestFailedCallMakesAllTablesBeReadAgain guards against a daemon that trusts the open calls for changes of some tables, while a call
// about another one shows that the store is in trouble.
func TestFailedCallMakesAllTablesBeReadAgain(t *testing.T) {
	t.Parallel()
	store := platformtest.NewFeedStore()
	startFollowing(t, store)
	store.AwaitOpen(t)
	failing := store.Lose("op")
	failedAt := store.AwaitCall(t, "op", failing)
	for _, name := range platform.FollowedTables() {
		must.Less(t, 300*time.Millisecond, store.AwaitCall(t, name, failedAt.Add(-100*time.Millisecond)).Sub(failedAt))
	}
}
