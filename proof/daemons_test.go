package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/vmlist"
)

// terminate is the signal of a planned stop.
const terminate = syscall.SIGTERM

// enterVM changes one entry in the platform's list of VMs.
func (p *platform) enterVM(t *testing.T, name, address string, leaving bool) {
	t.Helper()
	body, err := json.Marshal(vmlist.VM{Name: name, Address: address, FailureDomain: domain, Leaving: leaving})
	must.NoError(t, err)
	response, err := probe.Post("http://"+p.own+"/v1/vms", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusNoContent, response.StatusCode)
}

func proveDaemonKilled(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t, c.daemons...)
	c.daemons[0].kill()
	c.mustBeWhole(t, asks, sent)
}

// proveDaemonFrozen keeps a second reader at the frozen daemon: what it gets after the daemon
// woke must be of the same answer that the caller got elsewhere.
func proveDaemonFrozen(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t, c.daemons...)
	var old []*reply
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i, g := range sent {
		r := &reply{id: g.id, tries: 1}
		old = append(old, r)
		go asks[i].follow(ctx, r, c.daemons[0].callers)
	}
	time.Sleep(100 * time.Millisecond)
	c.daemons[0].pause()
	time.Sleep(8 * time.Second)
	c.daemons[0].resume()
	c.mustBeWhole(t, asks, sent)
	time.Sleep(2 * time.Second)
	for i, r := range old {
		r.mu.Lock()
		must.SliceNotEmpty(t, r.tokens, must.Sprint("the second reader got nothing"))
		must.LessEq(t, len(sent[i].tokens), len(r.tokens))
		must.Eq(t, sent[i].tokens[:len(r.tokens)], r.tokens, must.Sprint("the woken daemon delivered another answer"))
		r.mu.Unlock()
	}
}

// follow reads a request's events at one daemon for as long as ctx lasts.
func (a *ask) follow(ctx context.Context, r *reply, daemon string) {
	a.try(ctx, r, daemon)
}

func proveDaemonStopped(t *testing.T, c *cluster) {
	asks, sent := c.beginDrafts(t, c.daemons...)
	c.daemons[0].signal(terminate)
	eventually(t, "the stopping daemon is not ready", 5*time.Second, func() bool {
		return !answers(c.daemons[0].callers, "/readyz")
	})
	c.mustBeWhole(t, asks, sent)
	for _, g := range sent {
		must.Eq(t, 1, g.tries, must.Sprint("a caller had to connect again"))
	}
	must.True(t, c.daemons[0].wait(25*time.Second), must.Sprint("the daemon did not exit"))
	must.Zero(t, c.daemons[0].status)
	after := c.draft("a draft after the stop", 5).to(c.daemons[1])
	after.mustBeWhole(t, after.send(t))
}

func proveDraftsWithoutTable(t *testing.T, c *cluster) {
	c.platform.faults(t, platformFaults{Table: serviceFaults{Outage: "refuse"}})
	asks, sent := c.beginDrafts(t)
	c.platform.faults(t, platformFaults{Table: serviceFaults{Outage: "silent"}})
	c.mustBeWhole(t, asks, sent)
	asks, sent = c.beginDrafts(t)
	c.mustBeWhole(t, asks, sent)
}

// proveSentTwice sends each draft to two daemons at once under one key: one runs, both callers
// get the one answer.
func proveSentTwice(t *testing.T, c *cluster) {
	for i := range drafts {
		prompt := fmt.Sprintf("draft %d, sent twice", i)
		var asks []*ask
		var sent []*going
		for n := range c.daemons {
			a := c.draft(prompt, answerTokens/2).to(c.daemons[n], c.daemons[(n+1)%len(c.daemons)])
			a.key = fmt.Sprintf("twice-%d", i)
			asks = append(asks, a)
			sent = append(sent, a.begin(t))
		}
		c.mustBeWhole(t, asks, sent)
		must.Eq(t, sent[0].tokens, sent[1].tokens, must.Sprint("the two callers got different answers"))
	}
	streams := map[chicoryhall.RequestID]bool{}
	for _, e := range c.engines {
		var ledger engineLedger
		e.ledger(t, &ledger)
		for _, run := range ledger.Runs {
			streams[run.Stream] = true
		}
	}
	must.MapLen(t, drafts, streams, must.Sprint("streams run for drafts sent twice"))
}
