package configuration_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

// spreadLimit is the time within which a version must be current at every reachable daemon.
const spreadLimit = 5 * time.Second

// staticMembers implements chicoryhall.Members with members that never change.
type staticMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (m *staticMembers) Self() chicoryhall.Member           { return m.self }
func (m *staticMembers) Others() []chicoryhall.Member       { return m.others }
func (m *staticMembers) Subscribe(func(chicoryhall.Member)) {}

// group holds the configuration of several daemons that are connected over TCP.
type group struct {
	daemons []*configuration.Documents
	nodes   []*peer.Node
}

func newGroup(t *testing.T, size int, store chicoryhall.Table) *group {
	g := &group{}
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	clock := timer.New()
	serveUntilCleanup(t, clock.Serve)
	var members []chicoryhall.Member
	for i := range size {
		id := chicoryhall.DaemonID(fmt.Sprintf("hall-%d", i))
		node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock, Logger: logger})
		must.NoError(t, err)
		g.nodes = append(g.nodes, node)
		members = append(members, chicoryhall.Member{ID: id, PeerAddress: node.Address()})
		g.daemons = append(g.daemons, configuration.New(configuration.Config{Self: id, Timer: clock, Table: store, Log: logger, Seed: uint64(i)}))
	}
	for i, node := range g.nodes {
		own := &staticMembers{self: members[i]}
		for j, other := range members {
			if i != j {
				own.others = append(own.others, other)
				node.SetAddress(other.ID, other.PeerAddress)
			}
		}
		g.daemons[i].Attach(node, own)
		serveUntilCleanup(t, node.Serve)
	}
	return g
}

// serveUntilCleanup runs serve until the test ends.
func serveUntilCleanup(t *testing.T, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

func (g *group) waitCurrentEverywhere(t *testing.T, number int64) {
	must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadLimit), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		for _, s := range g.daemons {
			if current, known := s.Current("drafts"); !known || current.Version != number {
				return false
			}
		}
		return true
	})))
}

func validDocument(t *testing.T) string {
	text, err := os.ReadFile("../document/testdata/seeds/pipeline.yaml")
	must.NoError(t, err)
	return string(text)
}

func TestAcceptedVersionBecomesCurrentEverywhere(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 5, store)
	for _, s := range g.daemons {
		serveUntilCleanup(t, s.Serve)
	}
	v, err := g.daemons[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t)})
	must.NoError(t, err)
	must.Eq(t, 1, v.Number)
	g.waitCurrentEverywhere(t, 1)
	store.LoseAnswers(1)
	v, err = g.daemons[3].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t) + "# 2\n", BaseVersion: 1})
	must.NoError(t, err)
	must.Eq(t, 2, v.Number)
	g.waitCurrentEverywhere(t, 2)
	_, err = g.daemons[1].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t) + "# 3\n", BaseVersion: 1})
	must.ErrorContains(t, err, "made to version 1, but version 2 is accepted")
	for _, status := range g.daemons[2].Status(t.Context()) {
		must.True(t, status.Reachable)
		must.Eq(t, 2, status.Refs[0].Number)
	}
}

func TestNewDaemonStartsFromItsPeersWithTheTableDown(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 3, store)
	serveUntilCleanup(t, g.daemons[0].Serve)
	_, err := g.daemons[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t)})
	must.NoError(t, err)
	store.SetDown(true)
	must.ErrorContains(t, g.daemons[1].Ready(), "no documents yet")
	serveUntilCleanup(t, g.daemons[1].Serve)
	serveUntilCleanup(t, g.daemons[2].Serve)
	g.waitCurrentEverywhere(t, 1)
	for _, s := range g.daemons[1:] {
		must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadLimit), wait.ErrorFunc(s.Ready)))
	}
}

func TestNewDaemonWithoutTableAndPeersIsNotReady(t *testing.T) {
	store := &tabletest.Store{}
	store.SetDown(true)
	g := newGroup(t, 1, store)
	serveUntilCleanup(t, g.daemons[0].Serve)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadLimit), wait.BoolFunc(func() bool {
		text := g.daemons[0].Ready().Error()
		return text == "no documents yet: from the platform's table: read rows: table memory: unavailable: "+
			"the table is down; from the peers: no peer is known"
	})))
}

func TestRestoredTableIsRepaired(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 2, store)
	_, err := g.daemons[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t)})
	must.NoError(t, err)
	backup := store.Snapshot()
	_, err = g.daemons[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: validDocument(t) + "# 2\n", BaseVersion: 1})
	must.NoError(t, err)
	store.Restore(backup)
	serveUntilCleanup(t, g.daemons[0].Serve)
	serveUntilCleanup(t, g.daemons[1].Serve)
	g.waitCurrentEverywhere(t, 2)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadLimit), wait.BoolFunc(func() bool {
		history, err := g.daemons[1].History(t.Context(), "drafts")
		return err == nil && len(history) == 2 && history[1].Number == 2
	})))
}
