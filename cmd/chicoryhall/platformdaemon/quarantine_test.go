package platformdaemon

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

const suspect = quarantine.Fingerprint(7)

// newTestQuarantine returns the quarantine of a daemon whose Serve does not run.
func newTestQuarantine(self chicoryhall.DaemonID, store *tabletest.Store) *quarantineService {
	return newTestQuarantineAt(timer.New(), self, store)
}

// newTestQuarantineAt is newTestQuarantine with a clock.
func newTestQuarantineAt(clock chicoryhall.Timer, self chicoryhall.DaemonID, store *tabletest.Store) *quarantineService {
	logger := event.NewLogger(io.Discard, "test", log.ErrorLevel)
	endpoints := watch.NewListedEndpoints(watch.ListedConfig{Timer: clock, Log: logger})
	evidence := quarantine.NewEvidence(self)
	return newQuarantineService(evidence, newCrashes(clock, endpoints, metrics.NewSet(), logger),
		newCrashReports(self, clock, store, evidence, logger), newTrials(self, clock, store, logger), clock, logger)
}

// crash makes the quarantine record that an attempt of the suspect was lost when an endpoint crashed.
func (s *quarantineService) crash(attempt, endpoint string) {
	incarnation := quarantine.Incarnation{Endpoint: chicoryhall.EndpointID(endpoint), Number: 1}
	s.recordCrash(incarnation, []quarantine.Loss{{
		Fingerprint: suspect, Attempt: attempt, Stages: []quarantine.Stage{{Incarnation: incarnation}}, LostAt: s.timer.Now(),
	}})
}

func (s *quarantineService) incidents() int {
	return s.Standing(quarantine.Content{Whole: suspect}, s.timer.Now()).Incidents
}

// TestDaemonsCountCrashesTogether lets one daemon read what another one has written, also after a restart, an outage, and
// a write whose answer was lost.
func TestDaemonsCountCrashesTogether(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
	one.reports.exchange(ctx)
	two.reports.exchange(ctx)
	one.crash("a/1", "x")
	one.reports.exchange(ctx)
	two.crash("b/1", "y")
	two.reports.exchange(ctx)
	must.Eq(t, 2, two.incidents())
	must.Eq(t, 1, one.incidents())
	_, alerted := store.Snapshot()["alerts/two"]
	must.True(t, alerted)

	restarted := newTestQuarantine("one", store)
	restarted.crash("c/1", "z")
	restarted.reports.exchange(ctx)
	must.Eq(t, 3, restarted.incidents())

	store.SetDown(true)
	two.crash("d/1", "v")
	two.reports.exchange(ctx)
	store.SetDown(false)
	store.LoseAnswers(1)
	two.reports.exchange(ctx)
	two.reports.exchange(ctx)
	restarted.reports.exchange(ctx)
	must.Eq(t, 4, restarted.incidents())
	must.Eq(t, 4, two.incidents())
}

// TestClearedSuspectIsKnownToAll clears a suspect at a daemon that has not seen any of its crashes.
func TestClearedSuspectIsKnownToAll(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
	one.reports.exchange(ctx)
	one.crash("a/1", "x")
	one.crash("a/2", "y")
	one.reports.exchange(ctx)
	two.reports.exchange(ctx)
	standing := two.Standing(quarantine.Content{Whole: suspect}, two.timer.Now())
	must.Eq(t, quarantine.StateSuspect, standing.State)
	two.Passed(suspect, standing.Crashes)
	two.reports.exchange(ctx)
	_, alerted := store.Snapshot()["alerts/two"]
	must.True(t, alerted)
	one.reports.exchange(ctx)
	must.Eq(t, 0, one.incidents())
}

// TestSuspectsAreReserved reserves endpoints for the trials of one suspect at two daemons.
func TestSuspectsAreReserved(t *testing.T) {
	cases := []struct {
		name      string
		incidents int
		isHeld    bool
		isDown    bool
		want      quarantine.Decision
	}{
		{"free", 2, false, false, quarantine.DecisionReserved},
		{"another trial runs", 2, true, false, quarantine.DecisionWait},
		{"no store, two incidents", 2, false, true, quarantine.DecisionFree},
		{"no store, three incidents", 3, false, true, quarantine.DecisionWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
			if c.isHeld {
				must.Eq(t, quarantine.DecisionReserved, one.reserve("a/1", suspect, nil).Decision)
			}
			for i := range c.incidents {
				two.crash(string(rune('a'+i)), string(rune('a'+i)))
			}
			store.SetDown(c.isDown)
			must.Eq(t, c.want, two.reserve("b/1", suspect, nil).Decision)
			must.Eq(t, c.want == quarantine.DecisionReserved, two.trials.isHeld("b/1", time.Now()))
		})
	}
}

// TestLostTrialKeepsItsReservation ends trials and checks whether another daemon may start the next one at once.
func TestLostTrialKeepsItsReservation(t *testing.T) {
	cases := []struct {
		outcome quarantine.TrialOutcome
		want    quarantine.Decision
	}{
		{quarantine.TrialLost, quarantine.DecisionWait},
		{quarantine.TrialRefused, quarantine.DecisionReserved},
		{quarantine.TrialPassed, quarantine.DecisionReserved},
	}
	for _, c := range cases {
		t.Run(c.outcome.String(), func(t *testing.T) {
			store := &tabletest.Store{}
			one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
			must.Eq(t, quarantine.DecisionReserved, one.reserve("a/1", suspect, nil).Decision)
			one.Release("a/1", c.outcome)
			one.trials.wait()
			must.Eq(t, c.want, two.reserve("b/1", suspect, nil).Decision)
		})
	}
}

// TestExchangesPauseLongerInARow checks the pauses after exchanges that follow each other as soon as they may, and after a
// quiet time.
func TestExchangesPauseLongerInARow(t *testing.T) {
	reports := newTestQuarantine("one", &tabletest.Store{}).reports
	now := time.Unix(1000, 0)
	for _, want := range []time.Duration{1200, 2400, 4800, 5000, 5000} {
		reports.pause = reports.nextPause(now)
		must.Eq(t, want*time.Millisecond, reports.pause)
		reports.exchangedAt = now
		now = now.Add(reports.pause)
	}
	must.Eq(t, minExchangePause, reports.nextPause(now.Add(quietTime)))
}

// TestUrgentExchangeDoesNotWait asks for exchanges right after one.
func TestUrgentExchangeDoesNotWait(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
	two.reports.exchange(ctx)
	two.crash("b/1", "y")
	one.reports.exchangeIn(0, one.timer.Now())
	one.reports.exchangeIfWanted(ctx)
	two.reports.exchange(ctx)
	must.Eq(t, 0, one.incidents())
	one.reports.exchangeIn(0, one.timer.Now())
	one.reports.exchangeIfWanted(ctx)
	must.Eq(t, 0, one.incidents())
	one.reports.exchangeUrgentlyIn(0, one.timer.Now())
	one.reports.exchangeIfWanted(ctx)
	must.Eq(t, 1, one.incidents())
}

// TestSweeperRemovesStaleRows leaves a row unchanged for its lifetime.
func TestSweeperRemovesStaleRows(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	gone := newTestQuarantine("gone", store)
	gone.reports.exchange(ctx)
	gone.crash("a/1", "x")
	gone.reports.exchange(ctx)
	must.MapLen(t, 1, store.Snapshot())
	sweeper := &rowSweeper{table: store, timer: gone.timer, log: gone.log}
	sweeper.add("another/", 0)
	sweeper.sweep(ctx)
	must.MapLen(t, 1, store.Snapshot())
	sweeper.add(reportPrefix, 0)
	sweeper.sweep(ctx)
	must.MapEmpty(t, store.Snapshot())
}

// TestAlertTellsOfSuspect passes alerts to a daemon that does not read the reports, after crashes and after a clearance.
func TestAlertTellsOfSuspect(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	one, two := newTestQuarantine("one", store), newTestQuarantine("two", store)
	tell := func() {
		value := store.Snapshot()[platform.AlertKey("one")].Value
		two.reports.onAlert(platform.Alert{Daemon: "one", Value: value})
	}
	one.crash("a/1", "x")
	one.crash("a/2", "y")
	one.reports.exchange(ctx)
	one.reports.exchange(ctx)
	tell()
	must.Eq(t, quarantine.StateSuspect, two.Standing(quarantine.Content{Whole: suspect}, two.timer.Now()).State)
	one.Passed(suspect, one.Standing(quarantine.Content{Whole: suspect}, one.timer.Now()).Crashes)
	one.reports.exchange(ctx)
	tell()
	must.Eq(t, quarantine.StateFree, two.Standing(quarantine.Content{Whole: suspect}, two.timer.Now()).State)
	two.reports.onAlert(platform.Alert{Daemon: "one", Value: "unreadable"})
	two.reports.onAlert(platform.Alert{Daemon: "one"})
	must.Eq(t, quarantine.StateFree, two.Standing(quarantine.Content{Whole: suspect}, two.timer.Now()).State)
}

// TestNewSuspectIsToldAtOnce loses requests in crashes right after an exchange.
func TestNewSuspectIsToldAtOnce(t *testing.T) {
	ctx := context.Background()
	store := &tabletest.Store{}
	one := newTestQuarantine("one", store)
	one.reports.exchange(ctx)
	one.reports.pause = maxExchangePause
	for i, endpoint := range []string{"x", "y", "z"} {
		one.crash("a/"+endpoint, endpoint)
		one.reports.exchangeIfWanted(ctx)
		_, alerted := store.Snapshot()[platform.AlertKey("one")]
		must.Eq(t, i > 0, alerted)
	}
}

// TestRestoredStoreGetsReportAgain restores the store from an empty copy.
func TestRestoredStoreGetsReportAgain(t *testing.T) {
	ctx := context.Background()
	one := newTestQuarantine("one", &tabletest.Store{})
	one.crash("a/1", "x")
	one.crash("a/2", "y")
	one.reports.exchange(ctx)
	one.reports.exchange(ctx)
	restored := &tabletest.Store{}
	one.reports.table = restored
	one.reports.exchange(ctx)
	must.MapEmpty(t, restored.Snapshot())
	one.reports.onRestored()
	one.reports.exchange(ctx)
	must.MapContainsKeys(t, restored.Snapshot(), []string{reportPrefix + "one", platform.AlertKey("one")})
}

// TestLossesWithoutProofMakeSuspects guards against free runs of a content that this daemon has lost at two endpoints, of which the
// list shows only one to have ended yet.
func TestLossesWithoutProofMakeSuspects(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	s := newTestQuarantineAt(clock, "one", &tabletest.Store{})
	s.crashes.probeAddress = func(context.Context, string) crashProbe { return probeAlive }
	listings := []chicoryhall.Listing{{ID: "x", Service: "s", Address: "x:1", Incarnation: 1}, {ID: "y", Service: "s", Address: "y:1", Incarnation: 1}}
	s.crashes.endpoints.Replace(listings)
	lose := func(attempt string, listing chicoryhall.Listing, cause quarantine.LossCause) {
		stage := quarantine.Stage{Incarnation: quarantine.Incarnation{Endpoint: listing.ID, Number: 1}, Address: listing.Address}
		s.Lost(quarantine.Loss{
			Fingerprint: suspect, Attempt: attempt, Stages: []quarantine.Stage{stage}, Cause: cause, StartedAt: clock.Now(), LostAt: clock.Now(),
		})
	}
	state := func() quarantine.State { return s.Standing(quarantine.Content{Whole: suspect}, clock.Now()).State }
	lose("a/1", listings[0], quarantine.LossBroken)
	lose("a/2", listings[1], quarantine.LossSilent)
	must.Eq(t, quarantine.StateFree, state())
	clock.Advance(3 * time.Second)
	listings[1].ID, listings[1].Incarnation = "y-1", 2
	s.crashes.endpoints.Replace(listings)
	must.Eq(t, quarantine.StateSuspect, state())
	standing := s.Standing(quarantine.Content{Whole: suspect}, clock.Now())
	s.Passed(suspect, standing.Crashes)
	s.crashes.endpoints.Observe("x", chicoryhall.ObservedProgress)
	must.Eq(t, quarantine.StateFree, state())
}

// TestRejectedReservationsAreNotRepeatedForEachSuspect guards against suspects that overload the store and their endpoints while the
// store rejects their reservations.
func TestRejectedReservationsAreNotRepeatedForEachSuspect(t *testing.T) {
	const suspects, maxTries = 50, 16 // In ten seconds.
	clock, store := timer.NewManual(time.Now()), &tabletest.Store{}
	s := newTestQuarantineAt(clock, "one", store)
	var probes atomic.Int64
	s.crashes.probeAddress = func(context.Context, string) crashProbe {
		probes.Add(1)
		return probeAlive
	}
	store.SetDown(true)
	stages := []quarantine.Stage{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	for range 100 {
		for i := range suspects {
			must.NotEq(t, quarantine.DecisionReserved, s.reserve("a/1", quarantine.Fingerprint(i), stages).Decision)
		}
		clock.Advance(100 * time.Millisecond)
	}
	must.Between(t, 5, store.Transactions(), maxTries)
	must.LessEq(t, int64(3*maxTries), probes.Load())
	store.SetDown(false)
	clock.Advance(2 * time.Second)
	must.Eq(t, quarantine.DecisionReserved, s.reserve("a/1", 1, stages).Decision)
}
