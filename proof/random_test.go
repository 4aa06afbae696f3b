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

// wide is the size under two faults at once.
var wide = size{daemons: 3, enginesPerStage: 3, plains: 2}

// drawn is a fault that is drawn at random; some end by themselves.
type drawn struct {
	name  string
	begin func(t *testing.T, c *cluster, random *rand.Rand) (end func())
	lasts time.Duration
}

var drawnFaults = []drawn{
	{"kill an engine", func(_ *testing.T, c *cluster, random *rand.Rand) func() {
		pick(random, c.engines).kill()
		return nil
	}, 0},
	{"freeze an engine", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		e := pick(random, c.engines)
		return c.actPair(t, &e.endpoint, "freeze", "thaw")
	}, 3 * time.Second},
	{"silence an engine's connections", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		c.silence(t, &pick(random, c.engines).endpoint)
		return nil
	}, 0},
	{"cut an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkPair(t, &pick(random, c.engines).endpoint, linkFaults{Cut: true})
	}, 2 * time.Second},
	{"swallow all on an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkPair(t, &pick(random, c.engines).endpoint, linkFaults{Blackhole: true})
	}, 2 * time.Second},
	{"degrade an engine's link", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		return c.linkPair(t, &pick(random, c.engines).endpoint, linkFaults{DelayMillis: 50, BytesPerSecond: 100_000})
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
	{"refuse at the table", tableOutage("refuse"), 3 * time.Second},
	{"be silent at the table", tableOutage("silent"), 3 * time.Second},
	{"lose the table's answers", func(t *testing.T, c *cluster, _ *rand.Rand) func() {
		c.platform.faults(t, platformFaults{Table: serviceFaults{LoseAnswers: 3}})
		return nil
	}, 0},
	{"lose a plain service's answers", func(t *testing.T, c *cluster, random *rand.Rand) func() {
		pick(random, c.plains).faults(t, plainFaults{LoseAnswers: 2})
		return nil
	}, 0},
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func tableOutage(kind string) func(*testing.T, *cluster, *rand.Rand) func() {
	return func(t *testing.T, c *cluster, _ *rand.Rand) func() {
		c.platform.faults(t, platformFaults{Table: serviceFaults{Outage: kind}})
		return func() { c.platform.faults(t, platformFaults{}) }
	}
}

// actPair carries an action out unless the stand-in is gone and returns what undoes it.
func (c *cluster) actPair(t *testing.T, e *endpoint, action, undo string) func() {
	if !e.running() {
		return nil
	}
	e.act(t, action)
	return func() { e.act(t, undo) }
}

func (c *cluster) linkPair(t *testing.T, e *endpoint, faults linkFaults) func() {
	c.link(t, e, faults)
	return func() { c.link(t, e, linkFaults{}) }
}

// environmentNumber reads a number from the environment.
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

// TestRandomPairs lets two faults drawn at random happen together, RUNS times from SEED on.
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
	order := random.Perm(len(drawnFaults))
	pair := []drawn{drawnFaults[order[0]], drawnFaults[order[1]]}
	slices.SortFunc(pair, func(a, b drawn) int { return int(a.lasts - b.lasts) })
	t.Logf("faults: %s; %s", pair[0].name, pair[1].name)
	c := newCluster(t, wide)
	asks, sent := c.beginDrafts(t)
	begun := time.Now()
	ends := make([]func(), len(pair))
	for i := range pair {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		ends[i] = pair[i].begin(t, c, random)
	}
	asksOfHolds, sentHolds := c.beginHolds(t)
	for i, d := range pair {
		if ends[i] != nil {
			time.Sleep(max(0, d.lasts-time.Since(begun)))
			ends[i]()
		}
	}
	for i, g := range sentHolds {
		r := g.wait(t)
		must.True(t, r.ended, must.Sprintf("hold %d got no final word", i))
		c.mustBeAtMostOnce(t, asksOfHolds[i].body.Body, r)
	}
	for i, g := range sent {
		asks[i].mustNotBeWrong(t, g.wait(t), pair)
	}
}

func (c *cluster) beginHolds(t *testing.T) ([]*ask, []*going) {
	t.Helper()
	var asks []*ask
	var sent []*going
	for i := range holds {
		a := c.hold(fmt.Sprintf("hall %d", i), fmt.Sprintf("key-%d", i))
		n := i % len(c.daemons)
		a.to(append(c.daemons[n:len(c.daemons):len(c.daemons)], c.daemons[:n]...)...)
		asks = append(asks, a)
		sent = append(sent, a.begin(t))
		time.Sleep(10 * time.Millisecond)
	}
	return asks, sent
}

// mustNotBeWrong fails if a caller got anything but the beginning of one answer to its own prompt,
// or no final word, or, unless two daemons failed, no whole answer.
func (a *ask) mustNotBeWrong(t *testing.T, r *reply, pair []drawn) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	must.Zero(t, r.repeated)
	must.Zero(t, r.gaps)
	must.Eq(t, -1, digest.Verify(model, layers, digest.Tokenize(a.body.Prompt), r.tokens), must.Sprint("first wrong token"))
	must.True(t, r.ended, must.Sprintf("no final word after %d tries and %d tokens", r.tries, len(r.tokens)))
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
