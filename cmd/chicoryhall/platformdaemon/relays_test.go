package platformdaemon

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

// testRelays are relays that know the endpoints a and b of service s, and c of service other, whose probes a test decides.
type testRelays struct {
	*relays
	clock *timer.Manual

	mu    sync.Mutex
	alive bool
}

func newTestRelays() *testRelays {
	r := &testRelays{clock: timer.NewManual(time.Unix(1000, 0))}
	logger := event.NewLogger(io.Discard, "test", log.ErrorLevel)
	endpoints := watch.NewListedEndpoints(watch.ListedConfig{Timer: r.clock, Log: logger})
	self := chicoryhall.Member{ID: "self", PeerAddress: "address", PeerKey: "key"}
	members := membership.NewTableMembers(self, &tabletest.Store{}, r.clock, logger)
	r.relays = newRelays(self, r.clock, endpoints, relay.NewGuests(members, r.clock), logger, r.probe)
	for id, service := range map[chicoryhall.EndpointID]chicoryhall.ServiceName{"a": "s", "b": "s", "c": "other"} {
		endpoints.Update([]chicoryhall.ListingChange{{Listing: chicoryhall.Listing{ID: id, Service: service, Address: string(id)}}})
	}
	return r
}

func (r *testRelays) probe(context.Context, string) crashProbe {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.alive {
		return probeAlive
	}
	return probeUnclear
}

// settle waits for the probes in progress.
func (r *testRelays) settle() { _ = r.probes.Wait() } // The functions return no errors.

// TestDaemonCutOffReturnsToItsEndpoints cuts a daemon off from all endpoints, and lets probes reach them again.
func TestDaemonCutOffReturnsToItsEndpoints(t *testing.T) {
	r := newTestRelays()
	must.False(t, r.NoRoute("s"))
	r.endpoints.Observe("a", chicoryhall.ObservedSilence)
	must.True(t, r.NoRoute("s"))
	r.settle()
	must.True(t, r.IsOutOfReach("s"))
	must.True(t, r.IsOutOfReach("other"))
	r.clock.Advance(time.Second)
	r.settle()
	must.False(t, r.TakeTrial("s", true))
	r.mu.Lock()
	r.alive = true
	r.mu.Unlock()
	r.clock.Advance(time.Second)
	r.settle()
	must.True(t, r.IsOutOfReach("s"))
	must.True(t, r.TakeTrial("s", true))
	must.False(t, r.TakeTrial("s", true))
	r.clock.Advance(10 * time.Millisecond)
	r.endpoints.Observe("a", chicoryhall.ObservedProgress)
	must.False(t, r.IsOutOfReach("s"))
	must.True(t, r.IsOutOfReach("other"))
}

// TestOneServiceOutOfReachLeavesTheOthers finds endpoints of one service silent, while probes reach those of another.
func TestOneServiceOutOfReachLeavesTheOthers(t *testing.T) {
	r := newTestRelays()
	r.alive = true
	r.Silent("s", "a")
	must.False(t, r.IsOutOfReach("s"))
	r.Silent("s", "b")
	r.settle()
	must.True(t, r.IsOutOfReach("s"))
	must.False(t, r.IsOutOfReach("other"))
}

func TestTicketsOfDaemonsMakeThemGuests(t *testing.T) {
	r := newTestRelays()
	must.False(t, r.Accept(relay.NewTicket("stranger", 1, 1, relay.Peer{Key: "wrong"})))
	must.Eq(t, 0, r.guests.Count())
	must.True(t, r.Accept(relay.NewTicket("daemon", 1, 1, relay.Peer{Key: "key"})))
	must.Eq(t, 1, r.guests.Count())
}
