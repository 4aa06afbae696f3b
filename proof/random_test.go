package proof

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// largeSize is the size of clusters with two faults at the same time.
var largeSize = clusterSize{daemons: 3, enginesPerStage: 3, plains: 2}

// randomFault is a fault that can be chosen at random. begin injects it and returns a function that ends it, or nil if it
// is not ended. duration is the time from the start of the first of two faults until this one is ended.
type randomFault struct {
	name     string
	begin    func(t *testing.T, c *cluster, random *rand.Rand) (end func())
	duration time.Duration
}

var randomFaults = []randomFault{
	{"kill an engine", func(_ *testing.T, c *cluster, random *rand.Rand) func() {
		pick(random, c.engines).kill()
		return nil
	}, 0},
	{"freeze an engine", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		e := pick(random, c.engines)
		return c.actUntil(t, &e.endpoint, "freeze", "thaw")
	}, 3 * time.Second},
	{"silence an engine's connections", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		c.silence(t, &pick(random, c.engines).endpoint)
		return nil
	}, 0},
	{"cut an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkFaultUntil(t, &pick(random, c.engines).endpoint, linkFaults{Cut: true})
	}, 2 * time.Second},
	{"discard all data on an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkFaultUntil(t, &pick(random, c.engines).endpoint, linkFaults{Blackhole: true})
	}, 2 * time.Second},
	{"degrade an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkFaultUntil(t, &pick(random, c.engines).endpoint, linkFaults{DelayMillis: 50, BytesPerSecond: 100_000})
	}, 3 * time.Second},
	{"kill a daemon", func(_ *testing.T, c *cluster, random *rand.Rand) func() {
		pick(random, c.daemons).kill()
		return nil
	}, 0},
	{"freeze a daemon", func(_ *testing.T, c *cluster, random *rand.Rand) func() {
		d := pick(random, c.daemons)
		d.pause()
		return d.resume
	}, 5 * time.Second},
	{"make the table refuse", tableOutage("refuse"), 3 * time.Second},
	{"make the table silent", tableOutage("silent"), 3 * time.Second},
	{"lose the table's answers", func(t *testing.T, c *cluster, _ *rand.Rand) func() {
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{LoseAnswers: 3}})
		return nil
	}, 0},
	{"lose a plain service's answers", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		pick(random, c.plains).setFaults(t, plainFaults{LoseAnswers: 2})
		return nil
	}, 0},
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func tableOutage(kind string) func(*testing.T, *cluster, *rand.Rand) func() {
	return func(t *testing.T, c *cluster, _ *rand.Rand) func() {
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{Outage: kind}})
		return func() { c.platform.setFaults(t, platformFaults{}) }
	}
}

// actUntil executes an action, unless the stand-in has exited, and returns a function that undoes it.
func (c *cluster) actUntil(t *testing.T, e *endpoint, action, undo string) func() {
	if !e.running() {
		return nil
	}
	e.act(t, action)
	return func() { e.act(t, undo) }
}

func (c *cluster) linkFaultUntil(t *testing.T, e *endpoint, faults linkFaults) func() {
	c.setLinkFaults(t, e, faults)
	return func() { c.setLinkFaults(t, e, linkFaults{}) }
}

// environmentNumber returns the number in an environment variable, or absent if it is not set.
func environmentNumber(t *testing.T, name string, absent int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return absent
	}
	number, err := strconv.Atoi(text)
	must.NoError(t, err, must.Sprintf("%s is no number", name))
	return number
}

// TestRandomPairs injects two random faults at the same time. It runs for RUNS seeds, starting from SEED.
func TestRandomPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	seed := environmentNumber(t, "SEED", 1)
	for run := range environmentNumber(t, "RUNS", 1) {
		t.Run(fmt.Sprintf("seed-%d", seed+run), func(t *testing.T) {
			provePair(t, rand.New(rand.NewPCG(uint64(seed+run), 0)))
		})
	}
}

func provePair(t *testing.T, random *rand.Rand) {
	order := random.Perm(len(randomFaults))
	pair := []randomFault{randomFaults[order[0]], randomFaults[order[1]]}
	slices.SortFunc(pair, func(a, b randomFault) int { return int(a.duration - b.duration) })
	t.Logf("faults: %s; %s", pair[0].name, pair[1].name)
	c := newCluster(t, largeSize)
	requests, sent := c.startDrafts(t)
	startTime := time.Now()
	ends := make([]func(), len(pair))
	for i := range pair {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		ends[i] = pair[i].begin(t, c, random)
	}
	holdRequests, sentHolds := c.startHolds(t)
	for i, d := range pair {
		if ends[i] != nil {
			time.Sleep(max(0, d.duration-time.Since(startTime)))
			ends[i]()
		}
	}
	for i, g := range sentHolds {
		r := g.wait(t)
		must.True(t, r.ended, must.Sprintf("hold %d got no final answer", i))
		c.mustBeAtMostOnce(t, holdRequests[i].body.Body, r)
	}
	for i, g := range sent {
		requests[i].mustBeCorrect(t, g.wait(t), pair)
	}
}

func (c *cluster) startHolds(t *testing.T) ([]*callerRequest, []*pendingReply) {
	t.Helper()
	var requests []*callerRequest
	var sent []*pendingReply
	for i := range holds {
		a := c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i))
		n := i % len(c.daemons)
		a.to(append(c.daemons[n:len(c.daemons):len(c.daemons)], c.daemons[:n]...)...)
		requests = append(requests, a)
		sent = append(sent, a.start(t))
		time.Sleep(10 * time.Millisecond)
	}
	return requests, sent
}

// mustBeCorrect fails the test unless all tokens that a caller received belong to one answer to its own prompt, and the
// request has ended. The request must have been answered, unless both faults were faults of daemons: the failure of
// owner and backup may lose a request.
func (a *callerRequest) mustBeCorrect(t *testing.T, r *reply, pair []randomFault) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	must.Zero(t, r.repeated)
	must.Zero(t, r.missing)
	must.Eq(t, -1, digest.Verify(model, layers, digest.Tokenize(a.body.Prompt), r.tokens), must.Sprint("first wrong token"))
	must.True(t, r.ended, must.Sprintf("no final answer after %d tries and %d tokens", r.tries, len(r.tokens)))
	daemonFaults := 0
	for _, d := range pair {
		if d.name == "kill a daemon" || d.name == "freeze a daemon" {
			daemonFaults++
		}
	}
	if daemonFaults < len(pair) {
		must.Eq(t, chicoryhall.OutcomeAnswered, r.outcome, must.Sprintf("problem: %+v", r.problem))
	}
}
