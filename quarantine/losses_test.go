package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

var (
	lossStart = time.Unix(1000, 0)
	first     = quarantine.Incarnation{Endpoint: "a", Number: 1}
	again     = quarantine.Incarnation{Endpoint: "a", Number: 2}
	other     = quarantine.Incarnation{Endpoint: "b", Number: 1}
)

// lossAt returns a loss at the endpoints that started a second before it was lost.
func lossAt(after time.Duration, endpoints ...quarantine.Incarnation) quarantine.Loss {
	at := lossStart.Add(after)
	loss := quarantine.Loss{Fingerprint: 7, StartedAt: at.Add(-time.Second), LostAt: at}
	for _, endpoint := range endpoints {
		loss.Stages = append(loss.Stages, quarantine.Stage{Incarnation: endpoint, Address: "address of " + string(endpoint.Endpoint)})
	}
	return loss
}

func TestCrashExplainsLosses(t *testing.T) {
	cases := []struct {
		name         string
		loss         quarantine.Loss
		crash        quarantine.Incarnation
		lastProgress time.Duration
		knownAfter   time.Duration
		explains     bool
	}{
		{"crash known after the loss", lossAt(0, first, other), other, -time.Second, time.Second, true},
		{"another endpoint", lossAt(0, first), other, -time.Second, time.Second, false},
		{"another incarnation", lossAt(0, first), again, -time.Second, time.Second, false},
		{"progress long after the loss", lossAt(0, first), first, time.Second, 2 * time.Second, false},
		{"progress noticed right after the loss", lossAt(0, first), first, 50 * time.Millisecond, time.Second, true},
		{"loss long ago", lossAt(0, first), first, -time.Second, time.Minute, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLosses()
			must.SliceEmpty(t, l.Add(c.loss))
			explained := l.AddCrash(c.crash, lossStart.Add(c.lastProgress), lossStart.Add(c.knownAfter))
			must.Eq(t, c.explains, len(explained) == 1)
			must.SliceEmpty(t, l.AddCrash(c.crash, lossStart.Add(c.lastProgress), lossStart.Add(c.knownAfter)))
		})
	}
}

func TestKnownCrashExplainsLaterLoss(t *testing.T) {
	cases := []struct {
		name     string
		loss     quarantine.Loss
		explains bool
	}{
		{"attempt that ran at the crash", lossAt(500*time.Millisecond, other, first), true},
		{"attempt that started after the crash", lossAt(2*time.Second, other, first), false},
		{"next incarnation", lossAt(500*time.Millisecond, again), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLosses()
			must.SliceEmpty(t, l.AddCrash(first, time.Time{}, lossStart))
			must.Eq(t, c.explains, len(l.Add(c.loss)) == 1)
		})
	}
}

func TestFirstCrashExplainsLoss(t *testing.T) {
	l := quarantine.NewLosses()
	l.Add(lossAt(0, first, other))
	must.False(t, l.AddCrash(first, time.Time{}, lossStart)[0].Explained)
	must.True(t, l.AddCrash(other, time.Time{}, lossStart)[0].Explained)
	must.SliceLen(t, 2, l.Add(lossAt(time.Millisecond, first, other)))
	must.True(t, l.AddCrash(again, time.Time{}, lossStart) == nil)
}

func TestUnexplainedLosses(t *testing.T) {
	l := quarantine.NewLosses()
	l.Add(lossAt(0, first, other))
	must.Eq(t, []quarantine.Stage{{Incarnation: first, Address: "address of a"}}, l.Unexplained("a", lossStart))
	must.False(t, l.Crashed(first))
	l.AddCrash(first, time.Time{}, lossStart)
	must.True(t, l.Crashed(first))
	must.SliceEmpty(t, l.Unexplained("a", lossStart))
	must.SliceLen(t, 1, l.Unexplained("b", lossStart))
	must.SliceEmpty(t, l.Unexplained("b", lossStart.Add(time.Minute)))
}

func TestCrashesElsewhere(t *testing.T) {
	l := quarantine.NewLosses()
	l.AddCrash(first, time.Time{}, lossStart)
	must.False(t, l.CrashedElsewhere(lossAt(0, first, other), time.Second, lossStart))
	must.True(t, l.CrashedElsewhere(lossAt(0, other), time.Second, lossStart.Add(time.Second)))
	must.False(t, l.CrashedElsewhere(lossAt(0, other), time.Second, lossStart.Add(2*time.Second)))
}

// TestPendingLossesMakeSuspects guards against free runs of a content whose attempts broke off at several endpoints, before
// anything shows that these have crashed.
func TestPendingLossesMakeSuspects(t *testing.T) {
	broken := func(endpoint quarantine.Incarnation, position int64) quarantine.Loss {
		loss := lossAt(0, endpoint, quarantine.Incarnation{Endpoint: "later stage"})
		loss.Cause, loss.Position = quarantine.LossBroken, position
		return loss
	}
	silent, foreign := broken(other, 0), broken(other, 0)
	silent.Cause, foreign.Fingerprint = quarantine.LossSilent, 8
	never, later := lossStart.Add(-time.Minute), lossStart.Add(time.Second)
	cases := []struct {
		name         string
		losses       []quarantine.Loss
		known        int // incidents that are known anyway
		lastProgress time.Time
		crash        *quarantine.Incarnation
		after        time.Duration
		want         quarantine.State
	}{
		{"two endpoints", []quarantine.Loss{broken(first, 3), broken(other, 5)}, 0, never, nil, 0, quarantine.StateSuspect},
		{"one endpoint twice", []quarantine.Loss{broken(first, 0), broken(first, 0)}, 0, never, nil, 0, quarantine.StateFree},
		{"one endpoint", []quarantine.Loss{broken(first, 0)}, 0, never, nil, 0, quarantine.StateFree},
		{"one endpoint, one incident known", []quarantine.Loss{broken(first, 0)}, 1, never, nil, 0, quarantine.StateSuspect},
		{"two endpoints that work", []quarantine.Loss{broken(first, 0), broken(other, 0)}, 0, later, nil, 0, quarantine.StateFree},
		{"one broken, one silent", []quarantine.Loss{broken(first, 0), silent}, 0, never, nil, 0, quarantine.StateFree},
		{"one of another content", []quarantine.Loss{broken(first, 0), foreign}, 0, never, nil, 0, quarantine.StateFree},
		{"one explained by a crash", []quarantine.Loss{broken(first, 0), broken(other, 0)}, 0, never, &other, 0, quarantine.StateFree},
		{"long ago", []quarantine.Loss{broken(first, 0), broken(other, 0)}, 0, never, nil, time.Minute, quarantine.StateFree},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLosses()
			for _, loss := range c.losses {
				l.Add(loss)
			}
			if c.crash != nil {
				l.AddCrash(*c.crash, never, lossStart)
			}
			lastProgress := func(chicoryhall.EndpointID) time.Time { return c.lastProgress }
			pending := l.Pending(7, lastProgress, lossStart.Add(c.after))
			standing := quarantine.Standing{Incidents: c.known}.WithPending(7, pending)
			must.Eq(t, c.want, standing.State)
			if c.want == quarantine.StateSuspect {
				must.Eq(t, quarantine.Fingerprint(7), standing.Subject)
				must.Eq(t, c.known+len(pending.Crashes), standing.Incidents)
				must.Eq(t, pending.Position+2, standing.ProvenAt)
			}
		})
	}
}
