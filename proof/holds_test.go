package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// holds is the number of holds in one scenario.
const holds = 24

// mustBeAtMostOnce fails the test if a hold ran twice, ran although it was reported as not run,
// or did not run although it was answered.
func (c *cluster) mustBeAtMostOnce(t *testing.T, body string, r *reply) {
	t.Helper()
	runs := c.executions(t, body)
	must.LessEq(t, 1, runs, must.Sprintf("executions of hold %q", body))
	if !r.ended {
		return
	}
	switch r.outcome {
	case chicoryhall.OutcomeAnswered:
		must.One(t, runs, must.Sprintf("hold %q was answered", body))
	case chicoryhall.OutcomeNotRun:
		must.Zero(t, runs, must.Sprintf("hold %q was reported as not run: %+v", body, r.problem))
	}
}

func proveHolds(t *testing.T, c *cluster) {
	for i := range holds {
		body := fmt.Sprintf("hall %d", i)
		a := c.hold(body, fmt.Sprintf("key-%d", i)).to(c.daemons[i%2], c.daemons[(i+1)%2])
		first := a.send(t)
		must.True(t, first.ended)
		must.Eq(t, chicoryhall.OutcomeAnswered, first.outcome, must.Sprintf("%+v", first.problem))
		again := c.hold(body, fmt.Sprintf("key-%d", i)).to(c.daemons[(i+1)%2], c.daemons[i%2]).send(t)
		must.Eq(t, first.text, again.text, must.Sprint("the same key at another daemon got a different answer"))
		c.mustBeAtMostOnce(t, body, again)
	}
}

// proveHoldsDaemonKilled kills a daemon while holds are sent. Callers repeat them with the same key at the other daemon.
func proveHoldsDaemonKilled(t *testing.T, c *cluster) {
	var sent []*pendingReply
	for i := range holds {
		sent = append(sent, c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i)).start(t))
		time.Sleep(5 * time.Millisecond)
		if i == holds/2 {
			c.daemons[0].kill()
		}
	}
	outcomes := map[chicoryhall.Outcome]int{}
	for i, g := range sent {
		r := g.wait(t)
		must.True(t, r.ended, must.Sprintf("hold %d got no final answer after %d tries", i, r.tries))
		outcomes[r.outcome]++
		c.mustBeAtMostOnce(t, fmt.Sprintf("hall %d", i), r)
	}
	t.Logf("outcomes: %v", outcomes)
	must.Positive(t, outcomes[chicoryhall.OutcomeAnswered])
}

func proveHoldAnswerLost(t *testing.T, c *cluster) {
	for _, p := range c.plains {
		p.setFaults(t, plainFaults{LoseAnswers: 1000})
	}
	first := c.hold("hall 1", "key-1").send(t)
	must.True(t, first.ended)
	must.Eq(t, chicoryhall.OutcomeUnknown, first.outcome, must.Sprintf("%+v", first.problem))
	must.One(t, c.executions(t, "hall 1"))
	for _, p := range c.plains {
		p.setFaults(t, plainFaults{})
	}
	for _, d := range c.daemons {
		again := c.hold("hall 1", "key-1").to(d).send(t)
		must.True(t, again.ended)
		must.Eq(t, chicoryhall.OutcomeUnknown, again.outcome, must.Sprintf("a repeat at %s: %+v", d.id, again.problem))
	}
	must.One(t, c.executions(t, "hall 1"))
}

func proveHoldTableAnswerLost(t *testing.T, c *cluster) {
	for i, silently := range []bool{false, true} {
		body := fmt.Sprintf("hall %d", i)
		key := fmt.Sprintf("key-%d", i)
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{LoseAnswers: 1, LoseSilently: silently}})
		first := c.hold(body, key).send(t)
		must.True(t, first.ended)
		c.mustBeAtMostOnce(t, body, first)
		t.Logf("answer lost (silently %t): %s after %s", silently, first.outcome, first.took.Round(time.Millisecond))
		c.platform.setFaults(t, platformFaults{})
		again := c.hold(body, key).to(c.daemons[1]).send(t)
		must.True(t, again.ended)
		c.mustBeAtMostOnce(t, body, again)
		if first.outcome == chicoryhall.OutcomeAnswered {
			must.Eq(t, first.text, again.text)
		}
	}
}

func proveHoldTableDown(t *testing.T, c *cluster) {
	for i, outage := range []string{"refuse", "drop", "silent"} {
		body := fmt.Sprintf("hall %d", i)
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{Outage: outage}})
		r := c.hold(body, "key-"+outage).send(t)
		must.True(t, r.ended)
		must.Eq(t, chicoryhall.OutcomeNotRun, r.outcome, must.Sprintf("table %s: %+v", outage, r.problem))
		must.Less(t, 3*time.Second, r.took, must.Sprintf("table %s: took too long", outage))
		must.Zero(t, c.executions(t, body))
		c.platform.setFaults(t, platformFaults{})
	}
	r := c.hold("hall back", "key-back").send(t)
	must.Eq(t, chicoryhall.OutcomeAnswered, r.outcome, must.Sprintf("after the outage: %+v", r.problem))
}

func proveServiceFull(t *testing.T, c *cluster) {
	for _, p := range c.plains {
		p.setFaults(t, plainFaults{RefuseFull: true})
	}
	r := c.hold("hall 1", "key-1").send(t)
	must.True(t, r.ended)
	must.Eq(t, chicoryhall.OutcomeNotRun, r.outcome, must.Sprintf("%+v", r.problem))
	must.Zero(t, c.executions(t, "hall 1"))
	for _, p := range c.plains {
		p.setFaults(t, plainFaults{})
	}
	again := c.hold("hall 1", "key-1").send(t)
	must.Eq(t, chicoryhall.OutcomeAnswered, again.outcome, must.Sprintf("%+v", again.problem))
	c.mustBeAtMostOnce(t, "hall 1", again)
}
