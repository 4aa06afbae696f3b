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
	guiltyPart = quarantine.Fingerprint(101)
	firstPart  = quarantine.Fingerprint(102)
	soundPart  = quarantine.Fingerprint(103)
)

// settled is how long after a crash the reports of all daemons on it should have arrived.
const settled = 1500 * time.Millisecond

// partLost returns the involvement of a part in the crash of an endpoint, by an attempt of a request with a content.
func partLost(part, content quarantine.Fingerprint, endpoint string) quarantine.Involvement {
	one := lost(part, fmt.Sprintf("%d at %s", content, endpoint), endpoint)
	one.Content = content
	return one
}

// partIsolated is partLost for a trial of the part.
func partIsolated(part, content quarantine.Fingerprint, endpoint string) quarantine.Involvement {
	one := partLost(part, content, endpoint)
	one.Isolated = true
	return one
}

// partLostOften returns the involvements of a part in so many crashes, each with another content.
func partLostOften(part quarantine.Fingerprint, count int) []quarantine.Involvement {
	var all []quarantine.Involvement
	for i := range count {
		all = append(all, partLost(part, quarantine.Fingerprint(10+i), string(rune('a'+i))))
	}
	return all
}

// repeatedly returns the involvements of a content in so many crashes, those of partLostOften.
func repeatedly(content quarantine.Fingerprint, count int) []quarantine.Involvement {
	var all []quarantine.Involvement
	for i := range count {
		endpoint := string(rune('a' + i))
		all = append(all, lost(content, fmt.Sprintf("%s at %s", content, endpoint), endpoint))
	}
	return all
}

// attemptLostIn returns the involvements of one attempt that was lost in so many crashes at once, those of partLostOften.
func attemptLostIn(count int) []quarantine.Involvement {
	all := repeatedly(culprit, count)
	for i := range all {
		all[i].Attempt = all[0].Attempt
	}
	return all
}

// held returns the involvements of a part in so many crashes, each by attempts of another content and of one that is in all.
func held(part, content quarantine.Fingerprint, count int) []quarantine.Involvement {
	all := append(partLostOften(part, count), repeatedly(content, count)...)
	for _, one := range repeatedly(content, count) {
		one.Fingerprint, one.Content = part, content
		all = append(all, one)
	}
	return all
}

func TestPartStandings(t *testing.T) {
	with := func(count int, more ...quarantine.Involvement) []quarantine.Involvement {
		return append(partLostOften(guiltyPart, count), more...)
	}
	beside := func(part quarantine.Fingerprint, count int) []quarantine.Involvement {
		return append(partLostOften(guiltyPart, 4), partLostOften(part, count)...)
	}
	// Two parts were lost in the same crashes, one of them in further ones that convict it, and the other one in a trial beside a
	// part that most requests share.
	tried := append(partLostOften(firstPart, 8), partLostOften(guiltyPart, 3)...)
	tried = append(tried, partIsolated(guiltyPart, 20, "x"), partLost(soundPart, 21, "x"), partLost(soundPart, 22, "y"))
	cases := []struct {
		name     string
		involved []quarantine.Involvement
		cleared  []quarantine.Clearance
		after    time.Duration
		of       quarantine.Fingerprint
		want     quarantine.State
	}{
		{"two contents", with(2), nil, 0, guiltyPart, quarantine.StateFree},
		{"three contents", with(3), nil, 0, guiltyPart, quarantine.StateSuspect},
		{"four contents", with(4), nil, settled, guiltyPart, quarantine.StateConvicted},
		{"four contents, reports may be missing", with(4), nil, time.Second, guiltyPart, quarantine.StateUnsettled},
		{"another part in half of the crashes, reports may be missing", beside(soundPart, 2), nil, time.Second, guiltyPart, quarantine.StateUnsettled},
		{"another part in all of the crashes, settled", beside(firstPart, 4), nil, settled, guiltyPart, quarantine.StateSuspect},
		{"four crashes under one content", []quarantine.Involvement{
			partLost(guiltyPart, 10, "a"), partLost(guiltyPart, 10, "b"), partLost(guiltyPart, 10, "c"), partLost(guiltyPart, 10, "d"),
		}, nil, 0, guiltyPart, quarantine.StateFree},
		{"four contents in one crash", []quarantine.Involvement{
			partLost(guiltyPart, 10, "a"), partLost(guiltyPart, 11, "a"), partLost(guiltyPart, 12, "a"), partLost(guiltyPart, 13, "a"),
		}, nil, 0, guiltyPart, quarantine.StateFree},
		{"one answer that went on", with(4), []quarantine.Clearance{{Fingerprint: guiltyPart, Incarnation: at("a")}}, 0, guiltyPart, quarantine.StateSuspect},
		{
			"two answers that went on", with(4),
			[]quarantine.Clearance{{Fingerprint: guiltyPart, Incarnation: at("a")}, {Fingerprint: guiltyPart, Incarnation: at("b")}},
			0, guiltyPart, quarantine.StateFree,
		},
		{"another part in all of the crashes", beside(firstPart, 4), nil, 0, guiltyPart, quarantine.StateSuspect},
		{"another part in half of the crashes", beside(soundPart, 2), nil, settled, guiltyPart, quarantine.StateConvicted},
		{"the other part in half of the crashes", beside(soundPart, 2), nil, 0, soundPart, quarantine.StateFree},
		{"in crashes that a convicted part explains", append(with(5), partLostOften(soundPart, 3)...), nil, settled, soundPart, quarantine.StateFree},
		{"in as many crashes without a conviction", partLostOften(soundPart, 3), nil, 0, soundPart, quarantine.StateSuspect},
		{"trial, reports may be missing", with(2, partIsolated(guiltyPart, 20, "x")), nil, time.Second, guiltyPart, quarantine.StateUnsettled},
		{"a content in all of the crashes, apart from it", with(5, repeatedly(culprit, 5)...), nil, 0, guiltyPart, quarantine.StateSuspect},
		{"that content", with(5, repeatedly(culprit, 5)...), nil, 0, culprit, quarantine.StateSuspect},
		{"a content in all but one, apart from it", with(5, repeatedly(culprit, 4)...), nil, 0, guiltyPart, quarantine.StateSuspect},
		{"a content in some, apart from it", with(5, repeatedly(culprit, 3)...), nil, settled, guiltyPart, quarantine.StateConvicted},
		{"a content that holds it, in all of them", with(0, held(guiltyPart, culprit, 4)...), nil, settled, guiltyPart, quarantine.StateConvicted},
		{"an attempt that ended as many endpoints, apart from it", with(4, attemptLostIn(4)...), nil, settled, guiltyPart, quarantine.StateSuspect},
		{"trial", with(2, partIsolated(guiltyPart, 20, "x")), nil, settled, guiltyPart, quarantine.StateConvicted},
		{
			"trial beside the request's own content", with(2, partIsolated(guiltyPart, 20, "x"), lost(20, "20 at x", "x"), lost(20, "20 at y", "y")),
			nil, settled, guiltyPart, quarantine.StateConvicted,
		},
		{
			"trial of a request with a part that is more suspicious", append(append(with(2, partIsolated(guiltyPart, 20, "x")), partLostOften(firstPart, 3)...), partLost(firstPart, 20, "x")),
			nil, settled, guiltyPart, quarantine.StateSuspect,
		},
		{
			"trial beside a request with a suspicious part", with(2, partIsolated(guiltyPart, 20, "x"), partLost(soundPart, 21, "x"), partLost(soundPart, 22, "y")),
			nil, settled, guiltyPart, quarantine.StateSuspect,
		},
		{
			"trial beside a request with a part in a single crash", with(2, partIsolated(guiltyPart, 20, "x"), partLost(soundPart, 21, "x")),
			nil, settled, guiltyPart, quarantine.StateConvicted,
		},
		{"a trial in a crash that the convicted part does not explain", tried, nil, settled, guiltyPart, quarantine.StateSuspect},
		{
			"an answer that went on after that trial", tried,
			[]quarantine.Clearance{{Fingerprint: guiltyPart, Incarnation: at("x")}},
			settled,
			guiltyPart, quarantine.StateFree,
		},
		{"a part lost beside that trial", tried, nil, settled, soundPart, quarantine.StateFree},
		{
			"a trial in a crash that the convicted part explains", append(partLostOften(firstPart, 8), append(partLostOften(soundPart, 2), partIsolated(soundPart, 20, "c"))...),
			nil, settled, soundPart, quarantine.StateFree,
		},
		{"the conviction has lapsed", with(4), nil, 2 * time.Minute, guiltyPart, quarantine.StateSuspect},
		{"a content in crashes that a convicted part explains", with(4, lost(innocent, "i1", "a"), lost(innocent, "i2", "b")), nil, settled, innocent, quarantine.StateFree},
		{"a content in more crashes than a convicted part hides", with(5, repeatedly(culprit, 3)...), nil, 0, culprit, quarantine.StateSuspect},
		{"a content in as many crashes without a conviction", with(3, lost(innocent, "i1", "a"), lost(innocent, "i2", "b")), nil, 0, innocent, quarantine.StateSuspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			e.Replace(reportsOf("other", quarantine.Report{Involved: c.involved, Cleared: c.cleared}), lossStart)
			e.Standing(c.of, lossStart)
			must.Eq(t, c.want, e.Standing(c.of, lossStart.Add(c.after)).State)
		})
	}
}

// TestContentStandings combines what is known of the parts of a content with what is known of the whole.
func TestContentStandings(t *testing.T) {
	suspectWhole := []quarantine.Involvement{lost(culprit, "c1", "y"), lost(culprit, "c2", "z")}
	bothSuspect := append(partLostOften(firstPart, 3), partLostOften(guiltyPart, 3)...)
	cases := []struct {
		name     string
		involved []quarantine.Involvement
		after    time.Duration
		state    quarantine.State
		subject  quarantine.Fingerprint
		blocked  bool
	}{
		{"nothing", nil, 0, quarantine.StateFree, culprit, false},
		{"the whole is suspect", suspectWhole, 0, quarantine.StateSuspect, culprit, false},
		{"a part is suspect", partLostOften(guiltyPart, 3), 0, quarantine.StateSuspect, guiltyPart, false},
		{"both", append(suspectWhole[:2:2], partLostOften(guiltyPart, 3)...), 0, quarantine.StateSuspect, guiltyPart, false},
		{"a part is convicted", append(suspectWhole[:2:2], partLostOften(firstPart, 4)...), settled, quarantine.StateConvicted, firstPart, false},
		{"two parts are suspect", bothSuspect, 0, quarantine.StateSuspect, guiltyPart, true},
		{"two parts are suspect, no crash since", bothSuspect, 5 * time.Second, quarantine.StateSuspect, guiltyPart, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			e.Replace(reportsOf("other", quarantine.Report{Involved: c.involved}), lossStart)
			content := quarantine.Content{Whole: culprit, Parts: []quarantine.Fingerprint{firstPart, guiltyPart}}
			e.ContentStanding(content, lossStart)
			got := e.ContentStanding(content, lossStart.Add(c.after))
			must.Eq(t, c.state, got.State)
			must.Eq(t, c.subject, got.Subject)
			must.Eq(t, c.blocked, got.Blocked)
		})
	}
}

// TestSoundPartIsNotConvictedBeforeReportsArrive guards against the conviction of a part that was lost in four crashes at one daemon,
// while the losses of the guilty part are in reports that have not arrived.
func TestSoundPartIsNotConvictedBeforeReportsArrive(t *testing.T) {
	e := quarantine.NewEvidence("self")
	for _, one := range append(partLostOften(soundPart, 4), partLostOften(guiltyPart, 2)...) {
		e.Record(one, lossStart)
	}
	must.NotEq(t, quarantine.StateConvicted, e.Standing(soundPart, lossStart).State)
	e.Replace(reportsOf("other", quarantine.Report{Involved: partLostOften(guiltyPart, 4)[2:]}), lossStart.Add(time.Second))
	must.NotEq(t, quarantine.StateConvicted, e.Standing(soundPart, lossStart.Add(2*time.Second)).State)
}

// TestLapsedConvictionExplainsNothing guards against a conviction that goes on hiding the crashes of others after its end.
func TestLapsedConvictionExplainsNothing(t *testing.T) {
	e := quarantine.NewEvidence("self")
	involved := append(partLostOften(guiltyPart, 5), repeatedly(innocent, 2)...)
	e.Replace(reportsOf("other", quarantine.Report{Involved: involved}), lossStart)
	states := []struct {
		after time.Duration
		want  quarantine.State
	}{{0, quarantine.StateSuspect}, {settled, quarantine.StateFree}, {time.Minute, quarantine.StateFree}, {2 * time.Minute, quarantine.StateSuspect}}
	for _, s := range states {
		must.Eq(t, s.want, e.Standing(innocent, lossStart.Add(s.after)).State, must.Sprint("after ", s.after))
	}
}

// TestAnswersOutweighCrashes lets answers to prompts with a part begin and go on after crashes.
func TestAnswersOutweighCrashes(t *testing.T) {
	cases := []struct {
		name            string
		own, of         int // incidents that this daemon and another one have reported
		isTrial         bool
		withdrawn, left int
	}{
		{"several crashes", 0, 4, false, 1, 3},
		{"several crashes, in a trial", 0, 4, true, 2, 2},
		{"one crash that another daemon has reported", 0, 1, false, 0, 1},
		{"one crash that this daemon has reported", 1, 0, false, 1, 0},
		{"none", 0, 0, false, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := quarantine.NewEvidence("self")
			e.Replace(reportsOf("other", quarantine.Report{Involved: partLostOften(soundPart, c.of)}), lossStart)
			for _, one := range partLostOften(soundPart, c.own) {
				e.Record(one, lossStart)
			}
			withdrawn := e.Began([]quarantine.Fingerprint{firstPart, soundPart}, c.isTrial, lossStart)
			must.SliceLen(t, c.withdrawn, withdrawn)
			for _, one := range withdrawn {
				e.Clear(one.Fingerprint, []quarantine.Incarnation{one.Incarnation})
			}
			must.Eq(t, c.left, e.Standing(soundPart, lossStart).Incidents)
		})
	}
}

// TestAnswerOutweighsTrialBesideConviction guards against a part that stays a suspect for good after a trial that a convicted part does not
// explain: an answer that goes on withdraws that crash, also if another daemon has reported it.
func TestAnswerOutweighsTrialBesideConviction(t *testing.T) {
	e := quarantine.NewEvidence("self")
	involved := append(partLostOften(firstPart, 8), partLostOften(guiltyPart, 3)...)
	involved = append(involved, partIsolated(guiltyPart, 20, "x"), partLost(soundPart, 21, "x"), partLost(soundPart, 22, "y"))
	e.Replace(reportsOf("other", quarantine.Report{Involved: involved}), lossStart)
	e.Standing(guiltyPart, lossStart)
	now := lossStart.Add(settled)
	must.Eq(t, quarantine.StateSuspect, e.Standing(guiltyPart, now).State)
	for _, one := range e.Began([]quarantine.Fingerprint{guiltyPart}, true, now) {
		e.Clear(one.Fingerprint, []quarantine.Incarnation{one.Incarnation})
	}
	must.Eq(t, quarantine.StateFree, e.Standing(guiltyPart, now).State)
}

// TestFloodOfPartsDropsNoSuspect records many parts of a single crash each beside one of several crashes.
func TestFloodOfPartsDropsNoSuspect(t *testing.T) {
	e := quarantine.NewEvidence("self")
	for i, one := range partLostOften(guiltyPart, 3) {
		e.Record(one, lossStart)
		for j := range 300 {
			part := quarantine.Fingerprint(1000 + 300*i + j)
			e.Record(partLost(part, part, fmt.Sprint("flood", part)), lossStart)
		}
	}
	must.LessEq(t, 100, len(e.Own(lossStart).Involved))
	e.Record(partLost(guiltyPart, 20, "x"), lossStart)
	e.Record(partLost(guiltyPart, 21, "y"), lossStart)
	must.GreaterEq(t, 2, e.Standing(guiltyPart, lossStart).Incidents)
}

func TestPassesTellHarmlessParts(t *testing.T) {
	cases := []struct {
		name         string
		passed, lost int
		after        time.Duration
		want         bool
	}{
		{"no answer", 0, 0, 0, false},
		{"few answers", 4, 0, 0, false},
		{"answers", 5, 0, 0, true},
		{"a loss for each third answer", 9, 3, 0, true},
		{"more losses", 9, 4, 0, false},
		{"answers a while ago", 5, 0, 59 * time.Second, true},
		{"answers long ago", 5, 0, 62 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := quarantine.NewPasses()
			parts := []quarantine.Fingerprint{firstPart, soundPart}
			for range c.passed {
				p.Add(parts, lossStart)
			}
			for range c.lost {
				p.AddLoss(parts[1:], lossStart)
			}
			p.Add(nil, lossStart.Add(c.after/2+time.Second))
			must.Eq(t, c.want, p.IsHarmless(soundPart, lossStart.Add(c.after)))
		})
	}
}

// TestPassesAreBounded counts answers to prompts with more parts than are counted.
func TestPassesAreBounded(t *testing.T) {
	p := quarantine.NewPasses()
	known := []quarantine.Fingerprint{firstPart}
	p.Add(known, lossStart)
	for i := range 5000 {
		for range 5 {
			p.Add([]quarantine.Fingerprint{quarantine.Fingerprint(10000 + i)}, lossStart)
		}
	}
	for range 4 {
		p.Add(known, lossStart)
	}
	must.True(t, p.IsHarmless(firstPart, lossStart))
	must.True(t, p.IsHarmless(10000, lossStart))
	must.False(t, p.IsHarmless(14999, lossStart))
}

// TestGuiltyPartIsFoundAmongSoundOnes lets requests run together on random endpoints at random daemons, whose reports reach
// all others at random times. All share the first part; topics are shared by some, and one crashes each endpoint. It checks
// that only this part is convicted, and how often requests with it run after all daemons could know of its fifth crash.
func TestGuiltyPartIsFoundAmongSoundOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 5).Draw(t, "daemons")
		var all []*quarantine.Evidence
		var passes []*quarantine.Passes
		for i := range daemons {
			all = append(all, quarantine.NewEvidence(chicoryhall.DaemonID(fmt.Sprint(i))))
			passes = append(passes, quarantine.NewPasses())
		}
		now, crashes, late, knownAfter := lossStart, 0, 0, -1
		for step := range 200 {
			now = now.Add(100 * time.Millisecond)
			if step%6 == 0 {
				shareAll(all, now)
				if crashes >= 5 && knownAfter < 0 {
					knownAfter = step
				}
			}
			crash := at(fmt.Sprint("step", step))
			isCrash := step > 20 && rapid.IntRange(0, 5).Draw(t, "guilty") == 0
			trialRuns := false
			for r := range rapid.IntRange(1, 4).Draw(t, "requests") + 1 {
				daemon, content := rapid.IntRange(0, daemons-1).Draw(t, "daemon"), quarantine.Fingerprint(1000+10*step+r)
				topic := quarantine.Fingerprint(200 + rapid.IntRange(0, 9).Draw(t, "topic"))
				if isCrash && r == 0 {
					topic = guiltyPart
				}
				parts := []quarantine.Fingerprint{firstPart, topic}
				standing := all[daemon].ContentStanding(quarantine.Content{Whole: content, Parts: parts}, now)
				must.False(t, standing.State == quarantine.StateConvicted && standing.Subject != guiltyPart, must.Sprint("convicted: ", standing.Subject))
				isTrial := standing.State == quarantine.StateSuspect
				refused := standing.State == quarantine.StateConvicted || standing.State == quarantine.StateUnsettled || standing.Blocked
				if refused || isTrial && trialRuns { // Reservations keep a second suspect off the endpoint.
					isCrash = isCrash && r > 0
					continue
				}
				trialRuns = trialRuns || isTrial
				if topic == guiltyPart {
					crashes++
					if knownAfter >= 0 {
						late++
					}
				}
				if !isCrash {
					withdrawn := all[daemon].Began(parts, standing.State == quarantine.StateSuspect, now)
					passes[daemon].Add(parts, now)
					for _, one := range withdrawn {
						all[daemon].Clear(one.Fingerprint, []quarantine.Incarnation{one.Incarnation})
					}
					continue
				}
				passes[daemon].AddLoss(parts, now)
				for _, part := range parts {
					if !passes[daemon].IsHarmless(part, now) {
						one := partLost(part, content, string(crash.Endpoint))
						one.Isolated = standing.State == quarantine.StateSuspect && standing.Subject == part
						all[daemon].Record(one, now)
					}
				}
			}
		}
		must.LessEq(t, 3, late, must.Sprintf("%d crashes", crashes))
	})
}

// shareAll gives the reports of all daemons to all others.
func shareAll(all []*quarantine.Evidence, now time.Time) {
	reports := make(map[chicoryhall.DaemonID]quarantine.Report)
	for i, from := range all {
		reports[chicoryhall.DaemonID(fmt.Sprint(i))] = from.Own(now)
	}
	for _, to := range all {
		to.Replace(reports, now)
	}
}
