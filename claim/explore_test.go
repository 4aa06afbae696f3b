package claim

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/explore"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

// phase is how far one try of the request has come at its daemon.
type phase int

const (
	phaseStart phase = iota
	phaseInserting
	phaseGivenUp
	phaseOurs
	phaseSent
	phaseOutcome
	phaseEnded
	phaseCrashed
)

// try is one try of the same request, each at a daemon of its own.
type try struct {
	phase phase
	entry Entry
	// copies are inserts on their way that may arrive late, from a slow network or collector.
	copies int
	// told is what the caller was told, or nil while it waits.
	told string
	ran  bool
}

// world is three tries of one request and the table's row.
type world struct {
	rows map[string]table.Row
	// seen are all states of the row so far; a stale read gives any of them.
	seen  []table.Row
	tries [3]try
	runs  int
}

const key = "claims/key/o/s/k"

func (w world) clone() world {
	w.rows = maps.Clone(w.rows)
	w.seen = slices.Clone(w.seen)
	return w
}

// commit puts one entry through Batch and the table's rules, as Committer does.
func (w *world) commit(entry Entry) Verdict {
	store := &tabletest.Store{}
	store.Restore(w.rows)
	batch, _ := NewBatch([]Entry{entry}, maxBatch)
	for {
		transaction := batch.Transaction(fmt.Sprint(entry.Owner, entry.Kind))
		_, err := store.Transact(context.Background(), transaction)
		var verdicts []Verdict
		if row, conflict := table.IsConflict(err); conflict {
			verdicts = batch.Conflict(row)
		} else {
			verdicts = batch.Committed()
		}
		if len(verdicts) == 0 {
			continue
		}
		w.rows = store.Snapshot()
		if row, found := w.rows[key]; found && !slices.Contains(w.seen, row) {
			w.seen = append(w.seen, row)
		}
		return verdicts[0]
	}
}

// step is one event of try i, on a copy of the world.
func (w world) step(i int, name string, event func(next *world, t *try)) explore.Step[world] {
	next := w.clone()
	event(&next, &next.tries[i])
	return explore.Step[world]{Name: fmt.Sprintf("try %d %s", i, name), Next: next}
}

// inserted takes the verdict of an insert that was answered.
func (t *try) inserted(verdict Verdict) {
	switch {
	case verdict.Err != nil:
		t.phase, t.told = phaseGivenUp, "not run"
	case verdict.Claim.State == chicoryhall.ClaimOurs:
		t.phase, t.entry.Version = phaseOurs, verdict.Version
	case verdict.Claim.State == chicoryhall.ClaimDone:
		t.phase, t.told = phaseEnded, "answered"
	default:
		t.phase, t.told = phaseEnded, "unknown"
	}
}

func (w world) tryStep(i int) []explore.Step[world] {
	t := w.tries[i]
	var steps []explore.Step[world]
	add := func(name string, event func(next *world, t *try)) { steps = append(steps, w.step(i, name, event)) }
	if t.copies > 0 {
		add("has a late copy of its insert arrive", func(next *world, t *try) {
			t.copies--
			next.commit(Entry{Kind: Insert, Key: key, Owner: t.entry.Owner})
		})
	}
	switch t.phase {
	case phaseStart:
		add("begins", func(_ *world, t *try) {
			t.phase, t.copies = phaseInserting, 1
			t.entry = Entry{Kind: Insert, Key: key, Owner: fmt.Sprintf("owner %d", i)}
		})
	case phaseInserting:
		for n, row := range w.seen {
			add(fmt.Sprintf("reads state %d of the row", n), func(_ *world, t *try) {
				batch, _ := NewBatch([]Entry{t.entry}, maxBatch)
				if verdicts := batch.Read(row); len(verdicts) == 1 {
					t.inserted(verdicts[0])
				}
			})
		}
		add("inserts", func(next *world, t *try) { t.inserted(next.commit(t.entry)) })
		add("loses the answer of its insert", func(next *world, t *try) { next.commit(t.entry) })
		add("gives up", func(_ *world, t *try) { t.phase, t.told = phaseGivenUp, "not run" })
	case phaseGivenUp:
		for n, row := range w.seen {
			add(fmt.Sprintf("releases from state %d of the row", n), func(next *world, t *try) {
				if entry, needed := release(t.entry, row); needed {
					next.commit(entry)
				}
			})
		}
	case phaseOurs:
		add("sends and the endpoint runs it", func(next *world, t *try) { t.phase, t.ran, next.runs = phaseSent, true, next.runs+1 })
		add("sends and the endpoint refuses", func(_ *world, t *try) { t.phase = phaseSent })
	case phaseSent:
		add("gets the endpoint's answer", func(_ *world, t *try) { t.phase = phaseOutcome })
		add("loses the endpoint", func(_ *world, t *try) { t.phase, t.told = phaseEnded, "unknown" })
	case phaseOutcome:
		outcome := t.entry
		outcome.Kind, outcome.Answer = Outcome, map[bool]string{true: "done", false: "not run"}[t.ran]
		add("records the outcome and answers", func(next *world, t *try) {
			next.commit(outcome)
			t.phase, t.told = phaseEnded, outcome.Answer
		})
		add("loses the answer of the record", func(next *world, _ *try) { next.commit(outcome) })
		add("answers without a record", func(_ *world, t *try) { t.phase, t.told = phaseEnded, outcome.Answer })
	case phaseEnded, phaseCrashed:
		return steps
	}
	add("crashes", func(_ *world, t *try) { t.phase = phaseCrashed })
	return steps
}

func (w world) steps() []explore.Step[world] {
	return slices.Concat(w.tryStep(0), w.tryStep(1), w.tryStep(2))
}

func (w world) key() string {
	return fmt.Sprint(w.rows, w.seen, w.tries, w.runs)
}

// check is the promise: at most one run, and "not run" only of what did not run.
func (w world) check() error {
	if w.runs > 1 {
		return errors.New("the request ran twice")
	}
	for i, t := range w.tries {
		if t.told == "not run" && t.ran {
			return fmt.Errorf("try %d was told as not run and ran", i)
		}
	}
	row, found := w.rows[key]
	if w.runs == 1 && (!found || released(row)) {
		return errors.New("the request ran and its key can be claimed again")
	}
	return nil
}

func released(row table.Row) bool {
	v, err := table.DecodeValue[value](row)
	return err == nil && v.Released
}

func TestEveryCrashPointSendsAtMostOnce(t *testing.T) {
	states, err := explore.Run(explore.Model[world]{
		Steps: world.steps, Check: world.check, Key: world.key, MaxStates: 2_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
