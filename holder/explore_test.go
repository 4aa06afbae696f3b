package holder_test

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// explorer visits every schedule of a world up to a number of steps.
type explorer struct {
	start func() *world
	depth int
	seen  map[uint64]int
	// failure describes the first schedule that violated an invariant.
	failure string
}

// explore visits all schedules that begin with the given choices. It skips a state that was visited
// before with at least as many steps remaining.
func (e *explorer) explore(path []int) {
	if e.failure != "" {
		return
	}
	w, texts := e.replay(path)
	stepsLeft := e.depth - len(path)
	key := xxhash.Sum64String(w.describe())
	if known, ok := e.seen[key]; ok && known >= stepsLeft {
		return
	}
	e.seen[key] = stepsLeft
	choices := len(w.choices())
	if problem := findViolation(w); problem != "" {
		e.failure = problem + " after:\n" + strings.Join(texts, "\n")
		return
	}
	if stepsLeft == 0 {
		return
	}
	for i := range choices {
		e.explore(append(path[:len(path):len(path)], i))
	}
}

func (e *explorer) replay(path []int) (*world, []string) {
	w := e.start()
	var texts []string
	for _, i := range path {
		next := w.choices()[i]
		texts = append(texts, next.text)
		next.run()
	}
	return w, texts
}

// findViolation checks the invariants: no position gets two different tokens; a live daemon has the
// request; and when no message is in flight any more, some daemon runs the request. For the last one
// it lets time pass in the world.
func findViolation(w *world) string {
	if problem := w.check(); problem != "" {
		return problem
	}
	if !w.accepted || w.safetyOnly || !w.isQuiet() || w.anyPaused() {
		return ""
	}
	w.letTimePass()
	if w.running() == 0 {
		return "nobody runs the accepted request"
	}
	return w.check()
}

// letTimePass ticks every daemon for longer than any timeout, without further faults.
func (w *world) letTimePass() {
	const rounds = 40 // Each advances the time by at least 200 ms.
	for range rounds {
		for _, id := range w.order {
			if r := w.runners[id]; !r.killed {
				w.tick(r)
			}
		}
		for len(w.messages) > 0 {
			w.remove(0).deliver()
		}
	}
}

func (w *world) anyPaused() bool {
	for _, r := range w.runners {
		if r.paused {
			return true
		}
	}
	return false
}

func TestEverySmallTakeover(t *testing.T) {
	cases := []struct {
		name      string
		daemons   int
		remaining budget
		depth     int
	}{
		{"one dies of two", 2, budget{kills: 1, tokens: 3, losses: 2}, 24},
		{"one dies of three", 3, budget{kills: 1, tokens: 2, losses: 1}, 15},
		{"owner frozen and woken", 3, budget{pauses: 1, tokens: 2, losses: 1}, 15},
		{"owner believed dead while it runs", 3, budget{falseDeaths: 1, tokens: 2, losses: 1}, 15},
		{"owner frozen, then one of two dies", 2, budget{pauses: 1, kills: 1, tokens: 3}, 17},
		{"owner frozen in two", 2, budget{pauses: 1, tokens: 3, losses: 1}, 24},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			depth := c.depth
			if testing.Short() {
				depth -= 8
			}
			e := &explorer{start: func() *world { return newWorld(c.daemons, c.remaining) }, depth: depth, seen: map[uint64]int{}}
			e.explore(nil)
			if e.failure != "" {
				t.Fatal(e.failure)
			}
			t.Logf("%d states of up to %d steps", len(e.seen), depth)
		})
	}
}

func TestLongTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(2, 5).Draw(t, "daemons")
		remaining := budget{losses: 6, tokens: 12, ticks: 8}
		switch rapid.IntRange(0, 2).Draw(t, "fault") {
		case 0:
			remaining.kills = 1
		case 1:
			remaining.pauses = 1
		case 2:
			remaining.falseDeaths = 1
		}
		w := newWorld(daemons, remaining)
		var texts []string
		for range 60 {
			next := w.choices()
			if len(next) == 0 {
				break
			}
			i := rapid.IntRange(0, len(next)-1).Draw(t, "choice")
			texts = append(texts, next[i].text)
			next[i].run()
			must.Eq(t, "", w.check(), must.Sprint(strings.Join(texts, "\n")))
		}
	})
}
