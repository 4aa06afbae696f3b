package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutLength is longer than it takes daemons to declare each other dead.
const cutLength = 4 * time.Second

// proveDraftsCutApart cuts the daemons off from each other while drafts run, each with its second
// holder on the other side, and sends more during the cut.
func proveDraftsCutApart(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t, c.daemons...)
	c.cutDaemons(t, true)
	c.mustBeWhole(t, asks, sent)
	for _, d := range c.daemons {
		during := c.draft("a draft during the cut at "+string(d.id), 20).to(d)
		during.mustBeWhole(t, during.send(t))
	}
	time.Sleep(cutLength)
	c.cutDaemons(t, false)
	asks, sent = c.beginDrafts(t, c.daemons...)
	c.mustBeWhole(t, asks, sent)
}

// proveHoldsCutApart sends each key to both sides at once during the cut, and again after it.
func proveHoldsCutApart(t *testing.T, c *cluster) {
	c.cutDaemons(t, true)
	time.Sleep(cutLength)
	for i := range holds {
		body := fmt.Sprintf("hall %d", i)
		key := fmt.Sprintf("key-%d", i)
		var sent []*going
		for _, d := range c.daemons {
			sent = append(sent, c.hold(body, key).to(d).begin(t))
		}
		var replies []*reply
		for _, g := range sent {
			replies = append(replies, g.wait(t))
		}
		for _, r := range replies {
			must.True(t, r.ended)
			c.mustBeAtMostOnce(t, body, r)
		}
	}
	c.cutDaemons(t, false)
	time.Sleep(cutLength)
	for i := range holds {
		body := fmt.Sprintf("hall %d", i)
		again := c.hold(body, fmt.Sprintf("key-%d", i)).to(c.daemons[i%2]).send(t)
		must.True(t, again.ended)
		must.One(t, c.executions(t, body), must.Sprintf("hold %q after the cut: %+v", body, again.problem))
	}
}

// proveDocumentCutApart accepts a change on one side of a cut; it is in force on both after it.
func proveDocumentCutApart(t *testing.T, c *cluster) {
	c.cutDaemons(t, true)
	time.Sleep(cutLength)
	number, _ := change(t, c.daemons[0], 500)
	must.Positive(t, number)
	c.cutDaemons(t, false)
	c.awaitVersion(t, booking, number)
}

// proveHoldsDaemonFrozen pauses a daemon that has claims in progress, longer than its peers wait.
func proveHoldsDaemonFrozen(t *testing.T, c *cluster) {
	var sent []*going
	for i := range holds {
		sent = append(sent, c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i)).begin(t))
		if i == holds/2 {
			c.daemons[0].pause()
		}
	}
	time.Sleep(cutLength)
	c.daemons[0].resume()
	for i, g := range sent {
		r := g.wait(t)
		must.True(t, r.ended, must.Sprintf("hold %d got no final word after %d tries", i, r.tries))
		c.mustBeAtMostOnce(t, fmt.Sprintf("hall %d", i), r)
	}
}

// slowTable answers each request to the table this much later.
var slowTable = platformFaults{Table: serviceFaults{SlowMillis: 250}}

func proveHoldsTableSlow(t *testing.T, c *cluster) {
	c.platform.faults(t, slowTable)
	var sent []*going
	for i := range holds {
		sent = append(sent, c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i)).begin(t))
	}
	for i, g := range sent {
		r := g.wait(t)
		must.True(t, r.ended)
		c.mustBeAtMostOnce(t, fmt.Sprintf("hall %d", i), r)
	}
}

func proveDocumentTableSlow(t *testing.T, c *cluster) {
	c.platform.faults(t, slowTable)
	number, _ := change(t, c.daemons[0], 500)
	must.Positive(t, number)
	c.awaitVersion(t, booking, number)
}

// proveDaemonRestarted kills a daemon under drafts and starts it again; it serves like before.
func proveDaemonRestarted(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t, c.daemons...)
	c.daemons[0].kill()
	c.startDaemon(t, c.daemons[0])
	c.mustBeWhole(t, asks, sent)
	c.awaitReady(t, c.daemons[0])
	asks, sent = c.beginDrafts(t, c.daemons[0])
	c.mustBeWhole(t, asks, sent)
}
