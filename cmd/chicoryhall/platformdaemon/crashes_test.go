package platformdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

// TestCrashBehindSilentAddressIsKnown changes the list after an attempt was lost at an endpoint.
func TestCrashBehindSilentAddressIsKnown(t *testing.T) {
	const address = "10.0.0.1:1"
	listed := func(id chicoryhall.EndpointID) chicoryhall.ListingChange {
		return chicoryhall.ListingChange{Listing: chicoryhall.Listing{ID: id, Service: "s", Address: address}}
	}
	removed := func(id chicoryhall.EndpointID) chicoryhall.ListingChange {
		change := listed(id)
		change.Removed = true
		return change
	}
	cases := []struct {
		name          string
		before, after []chicoryhall.ListingChange
		probe         crashProbe
		want          bool
	}{
		{"removed and silent", nil, []chicoryhall.ListingChange{removed("lost")}, probeUnclear, true},
		{"removed and alive", nil, []chicoryhall.ListingChange{removed("lost")}, probeAlive, false},
		{"still listed and silent", nil, nil, probeUnclear, false},
		{"another endpoint at its address", nil, []chicoryhall.ListingChange{listed("next")}, probeAlive, true},
		{"an earlier endpoint at its address", []chicoryhall.ListingChange{listed("earlier")}, []chicoryhall.ListingChange{removed("earlier")}, probeAlive, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestQuarantine("one", &tabletest.Store{})
			s.crashes.probeAddress = func(context.Context, string) crashProbe { return c.probe }
			list := s.crashes.endpoints
			list.Update(append(c.before, listed("lost")))
			time.Sleep(time.Millisecond)
			now := s.timer.Now()
			stage := quarantine.Stage{Incarnation: quarantine.Incarnation{Endpoint: "lost"}, Address: address}
			s.Lost(quarantine.Loss{
				Fingerprint: suspect, Attempt: "a/1", Stages: []quarantine.Stage{stage}, Cause: quarantine.LossSilent, StartedAt: now, LostAt: now,
			})
			time.Sleep(time.Millisecond)
			list.Update(c.after)
			must.NoError(t, s.crashes.probes.Wait())
			must.Eq(t, c.want, s.incidents() == 1)
		})
	}
}
