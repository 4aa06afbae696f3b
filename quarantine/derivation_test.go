package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
)

var derivationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// knowledge is what Evidence and reference have in common.
type knowledge interface {
	Record(Involvement, time.Time)
	Clear(Fingerprint, []Incarnation)
	Alerted(chicoryhall.DaemonID, Report, time.Time)
	Replace(map[chicoryhall.DaemonID]Report, time.Time)
	Restored(time.Time)
	Expire(time.Time)
	Own(time.Time) Report
	HasUnsettled(time.Time) bool
	Suspicious(time.Time) []Involvement
	Counts(time.Time) (suspects, convicted int)
	Standing(Fingerprint, time.Time) Standing
	ContentStanding(Content, time.Time) Standing
	Began([]Fingerprint, bool, time.Time) []Clearance
}

// fingerprints of TestIncrementalDerivationEqualsFullOne; those from firstDrawnPart on are of parts.
const (
	drawnContents  = 4
	firstDrawnPart = 10
	drawnParts     = 5
)

// drawInvolvement draws an involvement of a content, or of a part of its prompt.
func drawInvolvement(t *rapid.T) Involvement {
	content := Fingerprint(rapid.IntRange(1, drawnContents).Draw(t, "content"))
	one := Involvement{
		Fingerprint: content, Attempt: fmt.Sprint(content, "/", rapid.IntRange(0, 6).Draw(t, "attempt")), Incarnation: drawIncarnation(t),
		Position: rapid.Int64Range(0, 2).Draw(t, "position"), Events: rapid.Int64Range(0, 2).Draw(t, "events"), Later: rapid.IntRange(0, 3).Draw(t, "later") == 0,
		Isolated: rapid.IntRange(0, 3).Draw(t, "isolated") == 0,
	}
	if rapid.Bool().Draw(t, "isPart") {
		one.Fingerprint, one.Content, one.Position = Fingerprint(firstDrawnPart+rapid.IntRange(0, drawnParts-1).Draw(t, "part")), content, 0
	}
	return one
}

func drawIncarnation(t *rapid.T) Incarnation {
	return Incarnation{Endpoint: chicoryhall.EndpointID(rapid.StringMatching("[a-g]").Draw(t, "endpoint")), Number: 1}
}

// drawFingerprint draws the fingerprint of a content or of a part.
func drawFingerprint(t *rapid.T) Fingerprint {
	if rapid.Bool().Draw(t, "ofPart") {
		return Fingerprint(firstDrawnPart + rapid.IntRange(0, drawnParts-1).Draw(t, "part"))
	}
	return Fingerprint(rapid.IntRange(1, drawnContents).Draw(t, "content"))
}

// drawReport draws a report.
func drawReport(t *rapid.T) Report {
	report := Report{Involved: rapid.SliceOfN(rapid.Custom(drawInvolvement), 0, 8).Draw(t, "involved")}
	for range rapid.IntRange(0, 2).Draw(t, "clearances") {
		report.Cleared = append(report.Cleared, Clearance{Fingerprint: drawFingerprint(t), Incarnation: drawIncarnation(t)})
	}
	return report
}

// distinct returns the items of a slice, each once.
func distinct[T comparable](items []T) []T { return appendMissing([]T{}, items) }

// withDistinctCrashes returns a standing with each crash once.
func withDistinctCrashes(s Standing) Standing {
	s.Crashes = distinct(s.Crashes)
	return s
}

// mustAgree compares all that two derivations tell.
func mustAgree(t *rapid.T, want, got knowledge, now time.Time) {
	var parts []Fingerprint
	for i := range drawnParts {
		parts = append(parts, Fingerprint(firstDrawnPart+i))
	}
	for content := Fingerprint(1); content <= drawnContents; content++ {
		must.Eq(t, withDistinctCrashes(want.Standing(content, now)), withDistinctCrashes(got.Standing(content, now)))
		for _, some := range [][]Fingerprint{parts, parts[:2], parts[3:]} {
			held := Content{Whole: content, Parts: some}
			must.Eq(t, withDistinctCrashes(want.ContentStanding(held, now)), withDistinctCrashes(got.ContentStanding(held, now)))
		}
	}
	for _, part := range parts {
		must.Eq(t, want.Standing(part, now), got.Standing(part, now))
	}
	for _, isTrial := range []bool{false, true} {
		must.Eq(t, distinct(want.Began(parts, isTrial, now)), distinct(got.Began(parts, isTrial, now)))
	}
	must.Eq(t, want.Own(now), got.Own(now))
	must.Eq(t, want.HasUnsettled(now), got.HasUnsettled(now))
	must.Eq(t, want.Suspicious(now), got.Suspicious(now))
	wantSuspects, wantConvicted := want.Counts(now)
	gotSuspects, gotConvicted := got.Counts(now)
	must.Eq(t, []int{wantSuspects, wantConvicted}, []int{gotSuspects, gotConvicted})
}

// TestIncrementalDerivationEqualsFullOne makes random changes in any order, with time passing, and compares what follows from
// them with a derivation from scratch.
func TestIncrementalDerivationEqualsFullOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, got := knowledge(newReference("self")), knowledge(NewEvidence("self"))
		now := derivationStart
		reports := make(map[chicoryhall.DaemonID]Report)
		both := func(change func(knowledge)) {
			change(want)
			change(got)
		}
		daemon := func() chicoryhall.DaemonID {
			return rapid.SampledFrom([]chicoryhall.DaemonID{"a", "self", "z"}).Draw(t, "daemon")
		}
		t.Repeat(map[string]func(*rapid.T){
			"record": func(t *rapid.T) {
				one := drawInvolvement(t)
				both(func(k knowledge) { k.Record(one, now) })
			},
			"flood": func(t *rapid.T) {
				first := rapid.IntRange(0, 500).Draw(t, "first")
				both(func(k knowledge) {
					for i := range 40 {
						content := Fingerprint(1000 + first + i)
						crash := Incarnation{Endpoint: "a", Number: int64(i % 2)}
						k.Record(Involvement{Fingerprint: content, Attempt: fmt.Sprint(first, i), Incarnation: crash}, now)
					}
				})
			},
			"clear": func(t *rapid.T) {
				fingerprint, crashes := drawFingerprint(t), rapid.SliceOfN(rapid.Custom(drawIncarnation), 1, 3).Draw(t, "crashes")
				both(func(k knowledge) { k.Clear(fingerprint, crashes) })
			},
			"go on": func(t *rapid.T) {
				parts := []Fingerprint{drawFingerprint(t), drawFingerprint(t)}
				isTrial := rapid.Bool().Draw(t, "trial")
				withdrawn := distinct(want.Began(parts, isTrial, now))
				must.Eq(t, withdrawn, distinct(got.Began(parts, isTrial, now)))
				for _, one := range withdrawn {
					both(func(k knowledge) { k.Clear(one.Fingerprint, []Incarnation{one.Incarnation}) })
				}
			},
			"alert": func(t *rapid.T) {
				from, report := daemon(), drawReport(t)
				both(func(k knowledge) { k.Alerted(from, report, now) })
			},
			"report": func(t *rapid.T) {
				from := daemon()
				reports[from] = drawReport(t)
				if rapid.IntRange(0, 4).Draw(t, "gone") == 0 {
					delete(reports, from)
				}
				both(func(k knowledge) { k.Replace(reports, now) })
			},
			"exchange": func(t *rapid.T) {
				reports["self"] = want.Own(now)
				must.Eq(t, reports["self"], got.Own(now))
				both(func(k knowledge) { k.Replace(reports, now) })
			},
			"restore": func(*rapid.T) { both(func(k knowledge) { k.Restored(now) }) },
			"expire":  func(*rapid.T) { both(func(k knowledge) { k.Expire(now) }) },
			"ask":     func(*rapid.T) { both(func(k knowledge) { k.Standing(1, now) }) },
			"compare": func(t *rapid.T) { mustAgree(t, want, got, now) },
			"wait": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{
					10 * time.Millisecond, time.Second, 1500 * time.Millisecond, 30 * time.Second, 2 * time.Minute, 10 * time.Minute, time.Hour,
				}).Draw(t, "time"))
			},
		})
		mustAgree(t, want, got, now)
	})
}

// storm returns what daemons report of crashes in which requests were lost. Many hold one of ten parts. Those of each eight
// daemons are lost in 100 crashes of their own.
func storm(daemons int) map[chicoryhall.DaemonID]Report {
	reports := make(map[chicoryhall.DaemonID]Report)
	for d := range daemons {
		var report Report
		for i := range maxReported / 2 {
			content := Fingerprint(100_000 + 100*d + i)
			one := Involvement{Fingerprint: content, Attempt: fmt.Sprint(content), Incarnation: stormCrash(25*(d/2) + i%25)}
			part := one
			part.Fingerprint, part.Content = Fingerprint(200+100*(d/8)+i%10), content
			report.Involved = append(report.Involved, one, part)
		}
		reports[chicoryhall.DaemonID(fmt.Sprint(d))] = report
	}
	return reports
}

// stormCrash returns one of the crashes.
func stormCrash(number int) Incarnation {
	return Incarnation{Endpoint: chicoryhall.EndpointID(fmt.Sprint(number)), Number: 1}
}

// TestChangeInStormTakesBoundedWork counts the involvements and the comparisons for single changes in a storm of crashes.
func TestChangeInStormTakesBoundedWork(t *testing.T) {
	lost := Involvement{Fingerprint: 203, Content: 5, Attempt: "5", Incarnation: stormCrash(9)}
	cases := []struct {
		name   string
		change func(k knowledge, reports map[chicoryhall.DaemonID]Report)
		most   int
	}{
		{"nothing", func(knowledge, map[chicoryhall.DaemonID]Report) {}, 0},
		{"the same reports", func(k knowledge, reports map[chicoryhall.DaemonID]Report) { k.Replace(reports, derivationStart) }, 0},
		{"a clearance of nothing", func(k knowledge, _ map[chicoryhall.DaemonID]Report) {
			k.Clear(7, []Incarnation{stormCrash(9)})
		}, 0},
		{"a lost part", func(k knowledge, _ map[chicoryhall.DaemonID]Report) { k.Record(lost, derivationStart) }, 600},
		{"a lost content", func(k knowledge, _ map[chicoryhall.DaemonID]Report) {
			k.Record(Involvement{Fingerprint: 8, Attempt: "8", Incarnation: stormCrash(9)}, derivationStart)
		}, 100},
		{"a clearance", func(k knowledge, _ map[chicoryhall.DaemonID]Report) { k.Clear(203, []Incarnation{stormCrash(3)}) }, 600},
		{"a loss in another report", func(k knowledge, reports map[chicoryhall.DaemonID]Report) {
			changed := maps.Clone(reports)
			changed["3"] = Report{Involved: append(slices.Clone(reports["3"].Involved[1:]), lost)}
			k.Replace(changed, derivationStart)
		}, 600},
	}
	for _, c := range cases {
		for _, daemons := range []int{8, 80} {
			t.Run(fmt.Sprint(c.name, ", ", daemons, " daemons"), func(t *testing.T) {
				e, reports := NewEvidence("self"), storm(daemons)
				e.Replace(reports, derivationStart)
				e.Standing(203, derivationStart)
				before := e.work()
				c.change(e, reports)
				must.Eq(t, StateSuspect, e.Standing(203, derivationStart).State)
				must.LessEq(t, c.most, e.work()-before)
			})
		}
	}
}

// work returns the work of all derivations.
func (e *Evidence) work() int { return e.all.work + e.rest.work }
