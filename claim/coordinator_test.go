package claim_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/claim"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

// staticMembers implements chicoryhall.Members with members that never change.
type staticMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (m *staticMembers) Self() chicoryhall.Member           { return m.self }
func (m *staticMembers) Others() []chicoryhall.Member       { return m.others }
func (m *staticMembers) Subscribe(func(chicoryhall.Member)) {}

// countedTable counts the transactions that one daemon sends.
type countedTable struct {
	*tabletest.Store
	mu    sync.Mutex
	count int
}

func (c *countedTable) Transact(ctx context.Context, transaction table.Transaction) (table.Result, error) {
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	return c.Store.Transact(ctx, transaction)
}

func (c *countedTable) transactions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// daemon holds one daemon's Claims, its connection to the table, and the function that stops it.
type daemon struct {
	claims *claim.Claims
	table  *countedTable
	stop   func()
}

func startDomain(t *testing.T, size int, store *tabletest.Store) []daemon {
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	clock := timer.New()
	serveAll(t, clock.Serve)
	var nodes []*peer.Node
	var members []chicoryhall.Member
	for i := range size {
		id := chicoryhall.DaemonID(fmt.Sprintf("hall-%d", i))
		node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock, Logger: logger})
		must.NoError(t, err)
		nodes = append(nodes, node)
		members = append(members, chicoryhall.Member{ID: id, FailureDomain: "f", PeerAddress: node.Address()})
	}
	var daemons []daemon
	for i, node := range nodes {
		view := &staticMembers{self: members[i]}
		for j, other := range members {
			if i != j {
				view.others = append(view.others, other)
				node.SetAddress(other.ID, other.PeerAddress)
			}
		}
		counted := &countedTable{Store: store}
		claims := claim.New(counted, clock, node, view)
		claims.Attach(node)
		daemons = append(daemons, daemon{claims: claims, table: counted, stop: serveAll(t, node.Serve, claims.Serve)})
	}
	return daemons
}

// serveAll runs functions until stop is called or the test ends.
func serveAll(t *testing.T, functions ...func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	for _, serve := range functions {
		serving.Go(func() { _ = serve(ctx) })
	}
	stop = func() {
		cancel()
		serving.Wait()
	}
	t.Cleanup(stop)
	return stop
}

func TestOneDaemonCommitsForItsFailureDomain(t *testing.T) {
	store := &tabletest.Store{}
	daemons := startDomain(t, 3, store)
	claimAll := func(daemons []daemon, prefix string) {
		var group sync.WaitGroup
		for i, d := range daemons {
			for n := range 20 {
				key := fmt.Sprintf("%s %d %d", prefix, i, n)
				group.Go(func() {
					got, err := d.claims.Claim(t.Context(), "o", "s", key, "f")
					must.NoError(t, err)
					must.Eq(t, chicoryhall.ClaimOurs, got.State)
					must.NoError(t, d.claims.Record(t.Context(), "o", "s", key, "done"))
				})
			}
		}
		group.Wait()
	}
	claimAll(daemons, "first")
	coordinator := -1
	for i, d := range daemons {
		if d.table.transactions() > 0 {
			must.Eq(t, -1, coordinator, must.Sprint("two daemons wrote"))
			coordinator = i
		}
	}
	must.NotEq(t, -1, coordinator)
	t.Logf("60 claims and 60 outcomes of 3 daemons took %d transactions of hall-%d", daemons[coordinator].table.transactions(), coordinator)

	// While the coordinator has stopped but is still believed alive, the other daemons commit their claims themselves.
	daemons[coordinator].stop()
	claimAll(append(daemons[:coordinator:coordinator], daemons[coordinator+1:]...), "second")
}
