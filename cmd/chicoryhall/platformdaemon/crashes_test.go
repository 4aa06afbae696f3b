package platformdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
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

// TestLateProgressDoesNotHideCrash reports progress at an endpoint just after an attempt was lost there, or going on.
func TestLateProgressDoesNotHideCrash(t *testing.T) {
	cases := []struct {
		name     string
		progress int // reports of progress, 10 ms apart
		probe    crashProbe
		want     bool
	}{
		{"none", 0, probeGone, true},
		{"just after the loss", 1, probeGone, true},
		{"going on", 20, probeGone, false},
		{"just after the loss, alive", 1, probeAlive, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			s := newTestQuarantineAt(clock, "one", &tabletest.Store{})
			s.crashes.probeAddress = func(context.Context, string) crashProbe { return c.probe }
			s.crashes.endpoints.Update([]chicoryhall.ListingChange{{Listing: chicoryhall.Listing{ID: "lost", Service: "s"}}})
			stage := quarantine.Stage{Incarnation: quarantine.Incarnation{Endpoint: "lost"}}
			s.Lost(quarantine.Loss{
				Fingerprint: suspect, Attempt: "a/1", Stages: []quarantine.Stage{stage}, Cause: quarantine.LossBroken,
				StartedAt: clock.Now(), LostAt: clock.Now(),
			})
			for step := range 20 {
				clock.Advance(10 * time.Millisecond)
				if step < c.progress {
					s.crashes.endpoints.Observe("lost", chicoryhall.ObservedProgress)
				}
			}
			must.NoError(t, s.crashes.probes.Wait())
			must.Eq(t, c.want, s.incidents() == 1)
		})
	}
}
