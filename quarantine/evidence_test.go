package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

const (
	culprit  = quarantine.Fingerprint(1)
	innocent = quarantine.Fingerprint(2)
	stranger = quarantine.Fingerprint(3)
)

// at returns the incarnation of an endpoint that a test names.
func at(name string) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: chicoryhall.EndpointID(name), Number: 1}
}

// lost returns the involvement of an attempt in the crash of an endpoint.
func lost(fingerprint quarantine.Fingerprint, attempt, endpoint string) quarantine.Involvement {
	return quarantine.Involvement{Fingerprint: fingerprint, Attempt: attempt, Incarnation: at(endpoint)}
}

// later returns the involvement of an attempt whose loss another crash had explained before.
func later(fingerprint quarantine.Fingerprint, attempt, endpoint string) quarantine.Involvement {
	one := lost(fingerprint, attempt, endpoint)
	one.Later = true
	return one
}

// isolated returns the involvement of an attempt that had reserved the endpoint.
func isolated(fingerprint quarantine.Fingerprint, attempt, endpoint string) quarantine.Involvement {
	one := lost(fingerprint, attempt, endpoint)
	one.Isolated = true
	return one
}

// reportsOf returns the reports of all daemons if only one has any.
func reportsOf(daemon chicoryhall.DaemonID, report quarantine.Report) map[chicoryhall.DaemonID]quarantine.Report {
	return map[chicoryhall.DaemonID]quarantine.Report{daemon: report}
}

func TestStandings(t *testing.T) {
	twice := []quarantine.Involvement{lost(culprit, "c1", "a"), lost(culprit, "c2", "b")}
	with := func(more ...quarantine.Involvement) []quarantine.Involvement { return append(twice[:2:2], more...) }
	cases := []struct {
		name     string
		involved []quarantine.Involvement
		cleared  []quarantine.Clearance
		after    time.Duration
		of       quarantine.Fingerprint
		want     quarantine.State
	}{
		{"one crash", twice[:1], nil, 0, culprit, quarantine.StateFree},
		{"two crashes", twice, nil, 0, culprit, quarantine.StateSuspect},
		{"one attempt on three endpoints that crashed", []quarantine.Involvement{
			lost(culprit, "c1", "a"), later(culprit, "c1", "b"), later(culprit, "c1", "c"),
		}, nil, 0, culprit, quarantine.StateFree},
		{"three copies in one crash", []quarantine.Involvement{
			lost(culprit, "c1", "a"), lost(culprit, "c2", "a"), lost(culprit, "c3", "a"),
		}, nil, 0, culprit, quarantine.StateFree},
		{"two incidents that turn out to be one", []quarantine.Involvement{
			lost(culprit, "c1", "a"), lost(culprit, "c2", "b"), lost(culprit, "c1", "b"),
		}, nil, 0, culprit, quarantine.StateFree},
		{"a crash that the first attempt's route survived", []quarantine.Involvement{
			lost(culprit, "c1", "a"), later(culprit, "c1", "b"), lost(culprit, "c2", "b"),
		}, nil, 0, culprit, quarantine.StateSuspect},
		{"isolated beside a request that crashed the whole route", with(isolated(culprit, "c3", "c"), lost(stranger, "s1", "d"), later(stranger, "s1", "c")), nil, 1500 * time.Millisecond, culprit, quarantine.StateSuspect},
		{"many crashes without a reservation", with(lost(culprit, "c3", "c"), lost(culprit, "c4", "d")), nil, time.Hour, culprit, quarantine.StateSuspect},
		{"isolated, reports may be missing", with(isolated(culprit, "c3", "c")), nil, time.Second, culprit, quarantine.StateUnsettled},
		{"isolated, no other request involved", with(isolated(culprit, "c3", "c")), nil, 1500 * time.Millisecond, culprit, quarantine.StateConvicted},
		{"isolated, another request involved", with(isolated(culprit, "c3", "c"), lost(stranger, "s1", "c")), nil, 1500 * time.Millisecond, culprit, quarantine.StateSuspect},
		{
			"isolated, the other request has run since", with(isolated(culprit, "c3", "c"), lost(stranger, "s1", "c")),
			[]quarantine.Clearance{{Fingerprint: stranger, Incarnation: at("c")}},
			1500 * time.Millisecond, culprit, quarantine.StateConvicted,
		},
		{
			"isolated twice beside others", with(isolated(culprit, "c3", "c"), lost(stranger, "s1", "c"), isolated(culprit, "c4", "d"), lost(innocent, "i1", "d")),
			nil, 0, culprit, quarantine.StateConvicted,
		},
		{
			"has run since", twice,
			[]quarantine.Clearance{{Fingerprint: culprit, Incarnation: at("a")}},
			0, culprit, quarantine.StateFree,
		},
		{
			"crashes that a convicted request explains",
			with(isolated(culprit, "c3", "c"), lost(innocent, "i1", "a"), lost(innocent, "i2", "b"), isolated(innocent, "i3", "c"), isolated(culprit, "c4", "d")),
			nil, 1500 * time.Millisecond, innocent, quarantine.StateSuspect,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			report := quarantine.Report{Involved: c.involved, Cleared: c.cleared}
			e.Replace(reportsOf("other", report), lossStart)
			e.Standing(c.of, lossStart)
			must.Eq(t, c.want, e.Standing(c.of, lossStart.Add(c.after)).State)
		})
	}
}

// TestRestartedDaemonKeepsItsReport lets a new process read the report that the one before it has left.
func TestRestartedDaemonKeepsItsReport(t *testing.T) {
	before := quarantine.NewEvidence("d")
	before.Replace(nil, lossStart)
	before.Record(lost(culprit, "c1", "a"), lossStart)
	before.Record(lost(culprit, "c2", "b"), lossStart)
	after := quarantine.NewEvidence("d")
	after.Record(lost(culprit, "c3", "c"), lossStart)
	must.False(t, after.Adopted())
	after.Replace(map[chicoryhall.DaemonID]quarantine.Report{"d": before.Own(lossStart)}, lossStart)
	must.True(t, after.Adopted())
	must.Eq(t, 3, after.Standing(culprit, lossStart).Incidents)
	after.Replace(map[chicoryhall.DaemonID]quarantine.Report{"d": {}}, lossStart)
	must.Eq(t, 3, after.Standing(culprit, lossStart).Incidents)
}

// TestClearancesDisappear lets one daemon withdraw what another one has reported, until both reports are empty.
func TestClearancesDisappear(t *testing.T) {
	reporter, clearer := quarantine.NewEvidence("r"), quarantine.NewEvidence("c")
	reporter.Record(lost(innocent, "i1", "a"), lossStart)
	clearer.Replace(reportsOf("r", reporter.Own(lossStart)), lossStart)
	standing := clearer.Standing(innocent, lossStart)
	must.Eq(t, []quarantine.Incarnation{at("a")}, standing.Crashes)
	clearer.Clear(innocent, standing.Crashes)
	must.SliceLen(t, 1, clearer.Own(lossStart).Cleared)
	reporter.Replace(reportsOf("c", clearer.Own(lossStart)), lossStart)
	must.SliceEmpty(t, reporter.Own(lossStart).Involved)
	clearer.Replace(reportsOf("r", reporter.Own(lossStart)), lossStart)
	must.SliceEmpty(t, clearer.Own(lossStart).Cleared)
}

func TestEvidenceExpires(t *testing.T) {
	cases := []struct {
		name     string
		involved []quarantine.Involvement
		after    time.Duration
		kept     bool
	}{
		{"suspicion in its time", []quarantine.Involvement{lost(culprit, "c1", "a")}, 10 * time.Minute, true},
		{"old suspicion", []quarantine.Involvement{lost(culprit, "c1", "a")}, 10*time.Minute + time.Second, false},
		{"conviction in its time", []quarantine.Involvement{lost(culprit, "c1", "a"), lost(culprit, "c2", "b"), isolated(culprit, "c3", "c")}, time.Hour, true},
		{"old conviction", []quarantine.Involvement{lost(culprit, "c1", "a"), lost(culprit, "c2", "b"), isolated(culprit, "c3", "c")}, time.Hour + time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			for _, one := range c.involved {
				e.Record(one, lossStart)
			}
			e.Standing(culprit, lossStart)
			e.Expire(lossStart.Add(c.after))
			must.Eq(t, c.kept, len(e.Own(lossStart.Add(c.after)).Involved) > 0)
		})
	}
}

// TestReportIsBounded records far more involvements than a row of the store may hold; those of a convicted request stay.
func TestReportIsBounded(t *testing.T) {
	e := quarantine.NewEvidence("self")
	for _, one := range []quarantine.Involvement{lost(culprit, "c1", "a"), lost(culprit, "c2", "b"), isolated(culprit, "c3", "c"), isolated(culprit, "c4", "d")} {
		e.Record(one, lossStart)
	}
	must.Eq(t, quarantine.StateConvicted, e.Standing(culprit, lossStart).State)
	for i := range 1000 {
		e.Record(lost(innocent, fmt.Sprint(i), "z"), lossStart)
	}
	must.SliceLen(t, 100, e.Own(lossStart).Involved)
	must.Eq(t, quarantine.StateConvicted, e.Standing(culprit, lossStart).State)
}

// TestOrderOfReportsDoesNotMatter gives random reports to two daemons, one after another and at once.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		involvement := rapid.Custom(func(t *rapid.T) quarantine.Involvement {
			number := rapid.IntRange(0, 5).Draw(t, "attempt")
			one := lost(quarantine.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")), fmt.Sprint(number), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "endpoint")))
			one.Attempt = fmt.Sprintf("%d/%d", one.Fingerprint, number)
			one.Isolated, one.Later = rapid.Bool().Draw(t, "isolated"), rapid.Bool().Draw(t, "later")
			return one
		})
		reports := make([]quarantine.Report, 3)
		for i := range reports {
			reports[i].Involved = rapid.SliceOfN(involvement, 0, 5).Draw(t, "involved")
			for _, one := range rapid.SliceOfN(involvement, 0, 2).Draw(t, "cleared") {
				reports[i].Cleared = append(reports[i].Cleared, quarantine.Clearance{Fingerprint: one.Fingerprint, Incarnation: one.Incarnation})
			}
		}
		one, two := quarantine.NewEvidence("one"), quarantine.NewEvidence("two")
		all := make(map[chicoryhall.DaemonID]quarantine.Report)
		for i := range reports {
			all[chicoryhall.DaemonID(fmt.Sprint(i))] = reports[i]
			one.Replace(all, lossStart)
			one.Standing(1, lossStart)
			two.Replace(reportsOf(chicoryhall.DaemonID(fmt.Sprint(2-i)), reports[2-i]), lossStart)
			two.Standing(1, lossStart)
		}
		two.Replace(all, lossStart)
		for fingerprint := quarantine.Fingerprint(1); fingerprint <= 3; fingerprint++ {
			for _, after := range []time.Duration{0, time.Minute} {
				a, b := one.Standing(fingerprint, lossStart.Add(after)), two.Standing(fingerprint, lossStart.Add(after))
				must.Eq(t, a.State, b.State)
				must.Eq(t, a.Incidents, b.Incidents)
			}
		}
	})
}

// TestRestoredReportsAreMerged reads reports that are older than those read before, right after the store was restored from a
// copy and later.
func TestRestoredReportsAreMerged(t *testing.T) {
	three := quarantine.Report{Involved: []quarantine.Involvement{lost(culprit, "c1", "a"), lost(culprit, "c2", "b"), lost(culprit, "c3", "c")}}
	one := quarantine.Report{Involved: three.Involved[:1]}
	cases := []struct {
		name  string
		older map[chicoryhall.DaemonID]quarantine.Report
		after time.Duration
		want  int
	}{
		{"an older report", reportsOf("other", one), time.Second, 3},
		{"no report", nil, time.Second, 3},
		{"later", reportsOf("other", one), time.Minute, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			e.Replace(reportsOf("other", three), lossStart)
			e.Restored(lossStart)
			e.Replace(c.older, lossStart.Add(c.after))
			must.Eq(t, c.want, e.Standing(culprit, lossStart.Add(c.after)).Incidents)
		})
	}
}
