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

// terminate is the signal that requests a process to shut down.
const terminate = syscall.SIGTERM

// putVM adds or replaces an entry in the platform's VM list.
func (p *platform) putVM(t *testing.T, name, address string, leaving bool) {
	t.Helper()
	body, err := json.Marshal(vmlist.VM{Name: name, Address: address, FailureDomain: domain, Leaving: leaving})
	must.NoError(t, err)
	response, err := probe.Post("http://"+p.directAddress+"/v1/vms", "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	must.Eq(t, http.StatusNoContent, response.StatusCode)
}

func proveDaemonKilled(t *testing.T, c *cluster) {
	requests, sent := c.startDrafts(t, c.daemons...)
	c.daemons[0].kill()
	c.mustBeComplete(t, requests, sent)
}

// proveDaemonFrozen pauses a daemon while drafts run, each with a second reader at that daemon. What the second reader
// receives from the daemon must belong to the answer that the caller received from the other daemon.
func proveDaemonFrozen(t *testing.T, c *cluster) {
	requests, sent := c.startDrafts(t, c.daemons...)
	var secondReaders []*reply
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i, g := range sent {
		r := &reply{id: g.id, tries: 1}
		secondReaders = append(secondReaders, r)
		go requests[i].follow(ctx, r, c.daemons[0].callers)
	}
	time.Sleep(100 * time.Millisecond)
	c.daemons[0].pause()
	time.Sleep(8 * time.Second)
	c.daemons[0].resume()
	c.mustBeComplete(t, requests, sent)
	time.Sleep(2 * time.Second)
	for i, r := range secondReaders {
		r.mu.Lock()
		must.SliceNotEmpty(t, r.tokens, must.Sprint("the second reader received nothing"))
		must.LessEq(t, len(sent[i].tokens), len(r.tokens))
		must.Eq(t, sent[i].tokens[:len(r.tokens)], r.tokens, must.Sprint("the paused daemon sent a different answer"))
		r.mu.Unlock()
	}
}

// follow reads a request's events from one daemon until the stream ends, no data arrives for silenceLimit, or ctx is done.
func (a *callerRequest) follow(ctx context.Context, r *reply, daemon string) {
	a.attempt(ctx, r, daemon)
}

func proveDaemonStopped(t *testing.T, c *cluster) {
	requests, sent := c.startDrafts(t, c.daemons...)
	c.daemons[0].signal(terminate)
	eventually(t, "the stopping daemon is not ready", 5*time.Second, func() bool {
		return !answers(c.daemons[0].callers, "/readyz")
	})
	c.mustBeComplete(t, requests, sent)
	for _, g := range sent {
		must.Eq(t, 1, g.tries, must.Sprint("a caller had to reconnect"))
	}
	must.True(t, c.daemons[0].wait(25*time.Second), must.Sprint("the daemon did not exit"))
	must.Zero(t, c.daemons[0].status)
	after := c.draft("a draft after the stop", 5).to(c.daemons[1])
	after.mustBeComplete(t, after.send(t))
}

func proveDraftsWithoutTable(t *testing.T, c *cluster) {
	c.platform.setFaults(t, platformFaults{Table: serviceFaults{Outage: "refuse"}})
	requests, sent := c.startDrafts(t)
	c.platform.setFaults(t, platformFaults{Table: serviceFaults{Outage: "silent"}})
	c.mustBeComplete(t, requests, sent)
	requests, sent = c.startDrafts(t)
	c.mustBeComplete(t, requests, sent)
}

// proveSentTwice sends each draft to two daemons at the same time with the same idempotency key. It must run once, and
// both callers must get the same answer.
func proveSentTwice(t *testing.T, c *cluster) {
	for i := range drafts {
		prompt := fmt.Sprintf("draft %d, sent twice", i)
		var requests []*callerRequest
		var sent []*pendingReply
		for n := range c.daemons {
			a := c.draft(prompt, answerTokens/2).to(c.daemons[n], c.daemons[(n+1)%len(c.daemons)])
			a.key = fmt.Sprintf("twice-%d", i)
			requests = append(requests, a)
			sent = append(sent, a.start(t))
		}
		c.mustBeComplete(t, requests, sent)
		must.Eq(t, sent[0].tokens, sent[1].tokens, must.Sprint("the two callers received different answers"))
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
