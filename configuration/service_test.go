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

// promise is how soon a version is in force at every daemon that can be reached.
const promise = 5 * time.Second

// staticMembers is a chicoryhall.Members that never changes.
type staticMembers struct {
	self   chicoryhall.Member
	others []chicoryhall.Member
}

func (m *staticMembers) Self() chicoryhall.Member           { return m.self }
func (m *staticMembers) All() []chicoryhall.Member          { return m.others }
func (m *staticMembers) Subscribe(func(chicoryhall.Member)) {}

// group is a few daemons' configuration over real peer connections.
type group struct {
	services []*configuration.Service
	nodes    []*peer.Node
}

func newGroup(t *testing.T, size int, store chicoryhall.Table) *group {
	g := &group{}
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	clock := timer.New()
	run(t, clock.Serve)
	var members []chicoryhall.Member
	for i := range size {
		id := chicoryhall.DaemonID(fmt.Sprintf("hall-%d", i))
		node, err := peer.New(peer.Config{Self: id, Listen: "127.0.0.1:0", Timer: clock, Logger: logger})
		must.NoError(t, err)
		g.nodes = append(g.nodes, node)
		members = append(members, chicoryhall.Member{ID: id, PeerAddress: node.Address()})
		g.services = append(g.services, configuration.New(configuration.Config{Self: id, Timer: clock, Table: store, Log: logger, Seed: uint64(i)}))
	}
	for i, node := range g.nodes {
		own := &staticMembers{self: members[i]}
		for j, other := range members {
			if i != j {
				own.others = append(own.others, other)
				node.Learn(other.ID, other.PeerAddress)
			}
		}
		g.services[i].Attach(node, own)
		run(t, node.Serve)
	}
	return g
}

// run serves a part until the test ends.
func run(t *testing.T, serve func(context.Context) error) {
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

func (g *group) inForceEverywhere(t *testing.T, number int64) {
	must.Wait(t, wait.InitialSuccess(wait.Timeout(promise), wait.Gap(10*time.Millisecond), wait.BoolFunc(func() bool {
		for _, s := range g.services {
			if inForce, known := s.Current("drafts"); !known || inForce.Version != number {
				return false
			}
		}
		return true
	})))
}

func good(t *testing.T) string {
	text, err := os.ReadFile("../document/testdata/seeds/pipeline.yaml")
	must.NoError(t, err)
	return string(text)
}

func TestAcceptedVersionIsInForceEverywhere(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 5, store)
	for _, s := range g.services {
		run(t, s.Serve)
	}
	v, err := g.services[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t)})
	must.NoError(t, err)
	must.Eq(t, 1, v.Number)
	g.inForceEverywhere(t, 1)
	store.LoseAnswers(1)
	v, err = g.services[3].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t) + "# 2\n", Read: 1})
	must.NoError(t, err)
	must.Eq(t, 2, v.Number)
	g.inForceEverywhere(t, 2)
	_, err = g.services[1].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t) + "# 3\n", Read: 1})
	must.ErrorContains(t, err, "made to version 1, but version 2 is accepted")
	for _, status := range g.services[2].Status(t.Context()) {
		must.True(t, status.Reachable)
		must.Eq(t, 2, status.Marks[0].Number)
	}
}

func TestNewDaemonStartsFromItsPeersWithTheTableDown(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 3, store)
	run(t, g.services[0].Serve)
	_, err := g.services[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t)})
	must.NoError(t, err)
	store.SetDown(true)
	must.ErrorContains(t, g.services[1].Ready(), "no documents yet")
	run(t, g.services[1].Serve)
	run(t, g.services[2].Serve)
	g.inForceEverywhere(t, 1)
	for _, s := range g.services[1:] {
		must.Wait(t, wait.InitialSuccess(wait.Timeout(promise), wait.ErrorFunc(s.Ready)))
	}
}

func TestNewDaemonWithNeitherSourceIsNotReadyAndSaysWhy(t *testing.T) {
	store := &tabletest.Store{}
	store.SetDown(true)
	g := newGroup(t, 1, store)
	run(t, g.services[0].Serve)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(promise), wait.BoolFunc(func() bool {
		text := g.services[0].Ready().Error()
		return text == "no documents yet: from the platform's table: read rows: table memory: unavailable: "+
			"the table is down; from the peers: no peer is known"
	})))
}

func TestRestoredTableIsWrittenForward(t *testing.T) {
	store := &tabletest.Store{}
	g := newGroup(t, 2, store)
	_, err := g.services[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t)})
	must.NoError(t, err)
	backup := store.Snapshot()
	_, err = g.services[0].Publish(t.Context(), configuration.Proposal{Service: "drafts", Text: good(t) + "# 2\n", Read: 1})
	must.NoError(t, err)
	store.Restore(backup)
	run(t, g.services[0].Serve)
	run(t, g.services[1].Serve)
	g.inForceEverywhere(t, 2)
	must.Wait(t, wait.InitialSuccess(wait.Timeout(promise), wait.BoolFunc(func() bool {
		history, err := g.services[1].History(t.Context(), "drafts")
		return err == nil && len(history) == 2 && history[1].Number == 2
	})))
}
