package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutLength is the duration of a cut. It is longer than daemons take to declare each other dead.
const cutLength = 4 * time.Second

// proveDraftsCutApart cuts the daemons off from each other while drafts run, each with its backup
// on the other side, and sends more drafts during the cut.
func proveDraftsCutApart(t *testing.T, c *cluster) {
	requests, sent := c.startDrafts(t, c.daemons...)
	c.cutDaemons(t, true)
	c.mustBeComplete(t, requests, sent)
	for _, d := range c.daemons {
		during := c.draft("a draft during the cut at "+string(d.id), 20).to(d)
		during.mustBeComplete(t, during.send(t))
	}
	time.Sleep(cutLength)
	c.cutDaemons(t, false)
	requests, sent = c.startDrafts(t, c.daemons...)
	c.mustBeComplete(t, requests, sent)
}

// proveHoldsCutApart sends each idempotency key to both sides at the same time during the cut, and again after it.
func proveHoldsCutApart(t *testing.T, c *cluster) {
	c.cutDaemons(t, true)
	time.Sleep(cutLength)
	for i := range holds {
		body := fmt.Sprintf("hall %d", i)
		key := fmt.Sprintf("key-%d", i)
		var sent []*pendingReply
		for _, d := range c.daemons {
			sent = append(sent, c.hold(body, key).to(d).start(t))
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

// proveDocumentCutApart applies a change on one side of a cut. After the cut it must be in force on both sides.
func proveDocumentCutApart(t *testing.T, c *cluster) {
	c.cutDaemons(t, true)
	time.Sleep(cutLength)
	number, _ := applyChange(t, c.daemons[0], 500)
	must.Positive(t, number)
	c.cutDaemons(t, false)
	c.awaitVersion(t, booking, number)
}

// proveHoldsDaemonFrozen pauses a daemon that has claims in progress for longer than its peers wait for it.
func proveHoldsDaemonFrozen(t *testing.T, c *cluster) {
	var sent []*pendingReply
	for i := range holds {
		sent = append(sent, c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i)).start(t))
		if i == holds/2 {
			c.daemons[0].pause()
		}
	}
	time.Sleep(cutLength)
	c.daemons[0].resume()
	for i, g := range sent {
		r := g.wait(t)
		must.True(t, r.ended, must.Sprintf("hold %d got no final answer after %d tries", i, r.tries))
		c.mustBeAtMostOnce(t, fmt.Sprintf("hall %d", i), r)
	}
}

// slowTable delays each answer of the table.
var slowTable = platformFaults{Table: serviceFaults{SlowMillis: 250}}

func proveHoldsTableSlow(t *testing.T, c *cluster) {
	c.platform.setFaults(t, slowTable)
	var sent []*pendingReply
	for i := range holds {
		sent = append(sent, c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i)).start(t))
	}
	for i, g := range sent {
		r := g.wait(t)
		must.True(t, r.ended)
		c.mustBeAtMostOnce(t, fmt.Sprintf("hall %d", i), r)
	}
}

func proveDocumentTableSlow(t *testing.T, c *cluster) {
	c.platform.setFaults(t, slowTable)
	number, _ := applyChange(t, c.daemons[0], 500)
	must.Positive(t, number)
	c.awaitVersion(t, booking, number)
}

// proveDaemonRestarted kills a daemon while drafts run and starts it again. It must serve requests as before.
func proveDaemonRestarted(t *testing.T, c *cluster) {
	requests, sent := c.startDrafts(t, c.daemons...)
	c.daemons[0].kill()
	c.startDaemon(t, c.daemons[0])
	c.mustBeComplete(t, requests, sent)
	c.awaitReady(t, c.daemons[0])
	requests, sent = c.startDrafts(t, c.daemons[0])
	c.mustBeComplete(t, requests, sent)
}
