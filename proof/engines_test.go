package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/digest"
)

const (
	// drafts is the number of answers that run while a fault happens.
	drafts = 6
	// answerTokens is the length of each of them.
	answerTokens = 60
	// tokensBefore is how many each caller has when the fault happens.
	tokensBefore = 10
)

// beginDrafts sends drafts through all daemons in turn and waits until each has some tokens.
func (c *cluster) beginDrafts(t *testing.T, daemons ...*daemon) ([]*ask, []*going) {
	t.Helper()
	var asks []*ask
	var sent []*going
	for i := range drafts {
		a := c.draft(fmt.Sprintf("draft %d: a banquet hall for three hundred guests on the eighth day", i), answerTokens)
		if len(daemons) > 0 {
			a.to(daemons...)
		} else {
			a.to(c.daemons[i%len(c.daemons)], c.daemons[(i+1)%len(c.daemons)])
		}
		asks = append(asks, a)
		sent = append(sent, a.begin(t))
	}
	for _, g := range sent {
		g.awaitTokens(t, tokensBefore)
	}
	return asks, sent
}

// mustBeWhole fails unless every draft was answered whole and no engine ran a position twice.
func (c *cluster) mustBeWhole(t *testing.T, asks []*ask, sent []*going) {
	t.Helper()
	var longest time.Duration
	for i, g := range sent {
		r := g.wait(t)
		asks[i].mustBeWhole(t, r)
		for _, run := range c.runsOf(t, r.id) {
			must.Zero(t, run.Repeats, must.Sprintf("%s ran positions of %s twice: %+v", run.engine.id, r.id, run.engineRun))
		}
		longest = max(longest, r.longestGap())
	}
	t.Logf("longest wait for a next token: %s", longest.Round(time.Millisecond))
}

// busiest returns the engine of a stage that runs the most of the drafts.
func (c *cluster) busiest(t *testing.T, stage int) *engine {
	t.Helper()
	var best *engine
	most := -1
	for _, e := range c.engines {
		if e.from != stage*layers/stages {
			continue
		}
		var ledger engineLedger
		e.ledger(t, &ledger)
		if len(ledger.Runs) > most {
			best, most = e, len(ledger.Runs)
		}
	}
	must.Positive(t, most, must.Sprintf("no engine of stage %d runs anything", stage))
	return best
}

// proveHealthy fails unless each layer ran each position of each draft exactly once.
func proveHealthy(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	c.mustBeWhole(t, asks, sent)
	for i, g := range sent {
		must.Eq(t, 1, g.tries)
		want := []positions{{From: 0, To: len(digest.Tokenize(asks[i].body.Prompt)) + answerTokens - 1}}
		covered := 0
		for _, run := range c.runsOf(t, g.id) {
			must.Eq(t, 1, run.Attempt)
			must.Eq(t, want, run.Positions, must.Sprintf("positions at %s", run.engine.id))
			covered += run.To - run.From
		}
		must.Eq(t, layers, covered, must.Sprint("layers run for an undisturbed draft"))
	}
}

// proveLayersOnce fails if an engine that stayed in a draft's route ran a position of the
// prompt again in a later attempt, or if any ran a position twice in one attempt.
func proveLayersOnce(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	frozen := c.busiest(t, 1)
	frozen.act(t, "freeze")
	c.mustBeWhole(t, asks, sent)
	frozen.act(t, "thaw")
	time.Sleep(time.Second) // what the engine kept back comes now
	later := 0
	for i, g := range sent {
		first := map[*engine]bool{}
		runs := c.runsOf(t, g.id)
		for _, run := range runs {
			must.Zero(t, run.Repeats)
			first[run.engine] = first[run.engine] || run.Attempt == 1
		}
		prompt := len(digest.Tokenize(asks[i].body.Prompt))
		for _, run := range runs {
			if run.Attempt == 1 || !first[run.engine] || len(run.Positions) == 0 {
				continue
			}
			later++
			must.GreaterEq(t, prompt, run.Positions[0].From, must.Sprintf("%s ran the prompt again", run.engine.id))
		}
	}
	must.Positive(t, later, must.Sprint("no draft met the frozen engine"))
}

func proveEngineKilled(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	c.busiest(t, 0).kill()
	c.mustBeWhole(t, asks, sent)
	asks, sent = c.beginDrafts(t)
	c.busiest(t, 1).kill()
	c.mustBeWhole(t, asks, sent)
}

func proveEngineFrozen(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	frozen := c.busiest(t, 1)
	frozen.act(t, "freeze")
	for _, g := range sent {
		g.wait(t)
	}
	frozen.act(t, "thaw")
	time.Sleep(time.Second) // what the engine kept back comes now
	c.mustBeWhole(t, asks, sent)
}

func proveConnectionSilent(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	c.silence(t, &c.busiest(t, 0).endpoint)
	c.mustBeWhole(t, asks, sent)
	asks, sent = c.beginDrafts(t)
	c.silence(t, &c.busiest(t, 2).endpoint)
	c.mustBeWhole(t, asks, sent)
}

func proveLinkCut(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	cut := c.busiest(t, 1)
	c.link(t, &cut.endpoint, linkFaults{Cut: true})
	c.mustBeWhole(t, asks, sent)
	c.link(t, &cut.endpoint, linkFaults{})
	asks, sent = c.beginDrafts(t)
	c.mustBeWhole(t, asks, sent)
}

func proveLinkDegraded(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	c.link(t, &c.busiest(t, 1).endpoint, linkFaults{DelayMillis: 60, BytesPerSecond: 50_000})
	c.mustBeWhole(t, asks, sent)
}

func proveAnswersLate(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	c.busiest(t, 0).faults(t, engineFaults{LateMillis: 1500})
	c.mustBeWhole(t, asks, sent)
}

func proveEngineStopped(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	stopped := c.busiest(t, 1)
	stopped.signal(terminate)
	c.mustBeWhole(t, asks, sent)
	for _, g := range sent {
		must.Eq(t, 1, g.tries)
	}
	must.True(t, stopped.wait(stopTimeout), must.Sprint("the engine did not exit"))
}

func proveLeaving(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t)
	leaving := c.busiest(t, 1)
	c.platform.enterVM(t, string(leaving.id), leaving.address, true)
	told := time.Now()
	c.mustBeWhole(t, asks, sent)
	for time.Since(told) < 6*time.Second {
		asks, sent = c.beginDrafts(t)
		c.mustBeWhole(t, asks, sent)
	}
	var ledger engineLedger
	leaving.ledger(t, &ledger)
	late := 0
	for _, run := range ledger.Runs {
		if run.AtMillis > told.Add(3*time.Second).UnixMilli() {
			late++
		}
	}
	must.Zero(t, late, must.Sprint("streams begun at the leaving engine later than 3s"))
}

// crashMarker is a prompt's beginning of whole pieces of eight bytes.
const crashMarker = "crash me on the spot now"

func proveCrashingPrompt(t *testing.T, c *cluster) {
	for _, e := range c.engines {
		e.faults(t, engineFaults{CrashPrompt: crashMarker})
	}
	asks, sent := c.beginDrafts(t)
	for _, d := range c.daemons {
		bad := c.draft(crashMarker+" and again", answerTokens).to(d)
		r := bad.send(t)
		must.True(t, r.ended, must.Sprint("the crashing request got no final word"))
		t.Logf("the crashing request at %s: %s, %s", d.id, r.outcome, r.problem.Detail)
	}
	crashed := 0
	for _, e := range c.engines {
		if !e.running() {
			crashed++
		}
	}
	must.LessEq(t, 2, crashed, must.Sprint("engines crashed by one request sent to two daemons"))
	must.Positive(t, crashed, must.Sprint("the request crashed nothing"))
	c.mustBeWhole(t, asks, sent)
}
