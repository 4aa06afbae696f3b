package membership_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

// writeRow stores the row of a daemon in the table.
func writeRow(t *testing.T, store *tabletest.Store, id, value string) {
	t.Helper()
	_, err := store.Transact(context.Background(), table.Transaction{
		Nonce: "n", Changes: []table.Change{{Key: "daemons/" + id, Value: value, IfVersion: table.AnyVersion}},
	})
	must.NoError(t, err)
}

// TestTableMembersFollowRows checks that a daemon discovers another one by its row, declares it dead when the row stops
// changing, ignores a damaged row, and writes and removes its own row.
func TestTableMembersFollowRows(t *testing.T) {
	store := &tabletest.Store{}
	clock := timer.NewManual(time.Unix(1000, 0))
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	members := membership.NewTableMembers(chicoryhall.Member{ID: "a", FailureDomain: "f"}, store, clock, logger)
	changes := make(chan chicoryhall.Member, 16)
	members.Subscribe(func(member chicoryhall.Member) { changes <- member })
	writeRow(t, store, "b", `{"failureDomain":"g","run":7}`)
	writeRow(t, store, "damaged", `{"run":"x"}`)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	runAsync(ended, func() error { return members.Serve(ctx) })

	first := <-changes
	must.Eq(t, "b", first.ID)
	must.Eq(t, "g", first.FailureDomain)
	must.Eq(t, chicoryhall.MemberAlive, first.State)
	must.Eq(t, 2, members.Alive())
	must.Eq(t, "a", members.Self().ID)
	row, found, err := store.Row(ctx, "daemons/a")
	must.NoError(t, err)
	must.True(t, found)
	must.StrContains(t, row.Value, `"failureDomain":"f"`)

	// The row of b no longer changes, so b is declared dead.
	deadline := time.Now().Add(10 * time.Second)
	for members.Alive() > 1 && time.Now().Before(deadline) {
		clock.Advance(time.Second)
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 1, members.Alive())
	must.Eq(t, chicoryhall.MemberDead, members.Others()[0].State)

	cancel()
	<-ended
	members.RemoveRow(context.Background())
	_, found, err = store.Row(context.Background(), "daemons/a")
	must.NoError(t, err)
	must.False(t, found)
}

// TestTableMembersCountAliveInDomain checks the counts of live daemons, in total and in the daemon's own failure
// domain, and that repeated calls use the cached counts without allocating.
func TestTableMembersCountAliveInDomain(t *testing.T) {
	store, clock := &tabletest.Store{}, timer.NewManual(time.Unix(1000, 0))
	members := membership.NewTableMembers(chicoryhall.Member{ID: "a", FailureDomain: "f"}, store, clock, event.NewLogger(io.Discard, "test", log.InfoLevel))
	must.Eq(t, 1, members.Alive())
	must.Eq(t, 1, members.AliveInDomain())
	for id, domain := range map[string]string{"b": "f", "c": "g", "d": "f"} {
		writeRow(t, store, id, `{"failureDomain":"`+domain+`","run":1}`)
	}
	changes := make(chan chicoryhall.Member, 16)
	members.Subscribe(func(member chicoryhall.Member) { changes <- member })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	runAsync(ended, func() error { return members.Serve(ctx) })
	for range 3 {
		<-changes
	}
	must.Eq(t, 4, members.Alive(), must.Sprint("right after the read"))
	must.Eq(t, 3, members.AliveInDomain())
	must.Eq(t, 0.0, testing.AllocsPerRun(100, func() { members.Alive() }), must.Sprint("cached counts must not allocate"))
	cancel()
	<-ended
}

// TestRestoredTableGetsRowAgain removes a daemon's row, as a restore of the table from a copy does.
func TestRestoredTableGetsRowAgain(t *testing.T) {
	store := &tabletest.Store{}
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	members := membership.NewTableMembers(chicoryhall.Member{ID: "a"}, store, timer.NewManual(time.Unix(1000, 0)), logger)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	must.False(t, members.Known())
	runAsync(ended, func() error { return members.Serve(ctx) })
	awaitRow := func() {
		deadline := time.Now().Add(10 * time.Second)
		for len(store.Snapshot()) == 0 || !members.Known() {
			must.True(t, time.Now().Before(deadline))
			time.Sleep(time.Millisecond)
		}
	}
	awaitRow()
	_, err := store.Transact(ctx, table.Transaction{Nonce: "n", Changes: []table.Change{{Key: "daemons/a", IfVersion: table.AnyVersion, Delete: true}}})
	must.NoError(t, err)
	members.Restored()
	awaitRow()
	cancel()
	must.ErrorIs(t, <-ended, context.Canceled)
}

func runAsync(ended chan<- error, function func() error) {
	go func() { ended <- function() }()
}

// TestFirstReadIsRepeatedUntilItSucceeds guards against a daemon that starts while the store is away and knows no other one for a period of the
// rows after its return: it took the whole slack of the retries for itself, and ordered no layers.
func TestFirstReadIsRepeatedUntilItSucceeds(t *testing.T) {
	const (
		step = 50 * time.Millisecond
		// knownWithin and settledWithin are the times after the store's return; settled takes a second read 3 s after the first one.
		knownWithin   = time.Second
		settledWithin = knownWithin + 3*time.Second + step
	)
	for _, outage := range []time.Duration{0, time.Second, 4500 * time.Millisecond, 20 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			store, clock := &tabletest.Store{}, timer.NewManual(time.Unix(1000, 0))
			writeRow(t, store, "b", `{"failureDomain":"f","run":1}`)
			store.SetDown(outage > 0)
			members := membership.NewTableMembers(chicoryhall.Member{ID: "a", FailureDomain: "f"}, store, clock, event.NewLogger(io.Discard, "test", log.InfoLevel))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			runAsync(ended, func() error { return members.Serve(ctx) })
			awaitWithin := func(limit time.Duration, holds func() bool) {
				t.Helper()
				for passed := time.Duration(0); !holds(); passed += step {
					must.LessEq(t, limit, passed)
					clock.Advance(step)
					time.Sleep(2 * time.Millisecond) // For the calls that have become due.
				}
			}
			for passed := time.Duration(0); passed < outage; passed += step {
				clock.Advance(step)
				time.Sleep(2 * time.Millisecond)
				must.False(t, members.Known())
			}
			store.SetDown(false)
			awaitWithin(knownWithin, members.Known)
			must.Eq(t, 2, members.Alive())
			awaitWithin(settledWithin, func() bool {
				_, settled := members.SettledInDomain()
				return settled
			})
			_, hasRow := store.Snapshot()["daemons/a"]
			must.True(t, hasRow)
			cancel()
			<-ended
		})
	}
}
