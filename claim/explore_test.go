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

// attemptPhase is the phase that one attempt to run the request has reached.
type attemptPhase int

const (
	phaseStart attemptPhase = iota
	phaseInserting
	// phaseInsertFailed: the insert failed or its result was not awaited, and its claim may have to be released.
	phaseInsertFailed
	phaseClaimed
	phaseSent
	// phaseEndpointAnswered: the endpoint answered that it ran or refused the request; the outcome is not recorded yet.
	phaseEndpointAnswered
	phaseEnded
	phaseCrashed
)

// attempt is one attempt to run the request, at a daemon of its own.
type attempt struct {
	phase attemptPhase
	entry Entry
	// lateInserts counts copies of the insert that may still arrive, delayed by the network or the coordinator.
	lateInserts int
	// response is what the caller was told: "done" or "not run" after this attempt's own result, "answered" if another
	// attempt's outcome is recorded, "unknown" if it may have run; empty while the caller waits.
	response string
	// ran is set when the endpoint ran the request of this attempt.
	ran bool
}

// model is the state explored: three attempts to run one request, and its row in the table.
type model struct {
	rows map[string]table.Row
	// seen holds all states of the row so far; a stale read may return any of them.
	seen     []table.Row
	attempts [3]attempt
	// runs counts the runs of the request by endpoints.
	runs int
}

const key = "claims/key/o/s/k"

func (m model) clone() model {
	m.rows = maps.Clone(m.rows)
	m.seen = slices.Clone(m.seen)
	return m
}

// commit commits one entry through a Batch to an in-memory table, as Committer does.
func (m *model) commit(entry Entry) Result {
	store := &tabletest.Store{}
	store.Restore(m.rows)
	batch, _ := NewBatch([]Entry{entry}, maxBatchEntries)
	for {
		transaction := batch.Transaction(fmt.Sprint(entry.Owner, entry.Kind))
		_, err := store.Transact(context.Background(), transaction)
		var results []Result
		if row, conflict := table.AsConflict(err); conflict {
			results = batch.HandleConflict(row)
		} else {
			results = batch.HandleCommit()
		}
		if len(results) == 0 {
			continue
		}
		m.rows = store.Snapshot()
		if row, found := m.rows[key]; found && !slices.Contains(m.seen, row) {
			m.seen = append(m.seen, row)
		}
		return results[0]
	}
}

// attemptStep returns the step in which one event of attempt i happens, on a copy of the model.
func (m model) attemptStep(i int, name string, event func(next *model, a *attempt)) explore.Step[model] {
	next := m.clone()
	event(&next, &next.attempts[i])
	return explore.Step[model]{Name: fmt.Sprintf("attempt %d %s", i, name), Next: next}
}

// handleInsert handles the result of an insert that was answered.
func (a *attempt) handleInsert(result Result) {
	switch {
	case result.Err != nil:
		a.phase, a.response = phaseInsertFailed, "not run"
	case result.Claim.State == chicoryhall.ClaimOurs:
		a.phase, a.entry.Version = phaseClaimed, result.Version
	case result.Claim.State == chicoryhall.ClaimDone:
		a.phase, a.response = phaseEnded, "answered"
	default:
		a.phase, a.response = phaseEnded, "unknown"
	}
}

func (m model) attemptSteps(i int) []explore.Step[model] {
	a := m.attempts[i]
	var steps []explore.Step[model]
	add := func(name string, event func(next *model, a *attempt)) {
		steps = append(steps, m.attemptStep(i, name, event))
	}
	if a.lateInserts > 0 {
		add("has a late copy of its insert arrive", func(next *model, a *attempt) {
			a.lateInserts--
			next.commit(Entry{Kind: Insert, Key: key, Owner: a.entry.Owner})
		})
	}
	switch a.phase {
	case phaseStart:
		add("begins", func(_ *model, a *attempt) {
			a.phase, a.lateInserts = phaseInserting, 1
			a.entry = Entry{Kind: Insert, Key: key, Owner: fmt.Sprintf("owner %d", i)}
		})
	case phaseInserting:
		for n, row := range m.seen {
			add(fmt.Sprintf("reads state %d of the row", n), func(_ *model, a *attempt) {
				batch, _ := NewBatch([]Entry{a.entry}, maxBatchEntries)
				if results := batch.HandleRow(row); len(results) == 1 {
					a.handleInsert(results[0])
				}
			})
		}
		add("inserts", func(next *model, a *attempt) { a.handleInsert(next.commit(a.entry)) })
		add("loses the answer of its insert", func(next *model, a *attempt) { next.commit(a.entry) })
		add("gives up", func(_ *model, a *attempt) { a.phase, a.response = phaseInsertFailed, "not run" })
	case phaseInsertFailed:
		for n, row := range m.seen {
			add(fmt.Sprintf("releases from state %d of the row", n), func(next *model, a *attempt) {
				if entry, needed := releaseEntry(a.entry, row); needed {
					next.commit(entry)
				}
			})
		}
	case phaseClaimed:
		add("sends and the endpoint runs it", func(next *model, a *attempt) { a.phase, a.ran, next.runs = phaseSent, true, next.runs+1 })
		add("sends and the endpoint refuses", func(_ *model, a *attempt) { a.phase = phaseSent })
	case phaseSent:
		add("gets the endpoint's answer", func(_ *model, a *attempt) { a.phase = phaseEndpointAnswered })
		add("loses the endpoint", func(_ *model, a *attempt) { a.phase, a.response = phaseEnded, "unknown" })
	case phaseEndpointAnswered:
		// If the endpoint refused, package requests releases the claim. The model has no release of a held claim
		// and records "not run" as the outcome instead.
		outcome := a.entry
		outcome.Kind, outcome.Answer = Outcome, map[bool]string{true: "done", false: "not run"}[a.ran]
		add("records the outcome and answers", func(next *model, a *attempt) {
			next.commit(outcome)
			a.phase, a.response = phaseEnded, outcome.Answer
		})
		add("loses the answer of the record", func(next *model, _ *attempt) { next.commit(outcome) })
		add("answers without a record", func(_ *model, a *attempt) { a.phase, a.response = phaseEnded, outcome.Answer })
	case phaseEnded, phaseCrashed:
		return steps
	}
	add("crashes", func(_ *model, a *attempt) { a.phase = phaseCrashed })
	return steps
}

func (m model) steps() []explore.Step[model] {
	return slices.Concat(m.attemptSteps(0), m.attemptSteps(1), m.attemptSteps(2))
}

func (m model) fingerprint() string {
	return fmt.Sprint(m.rows, m.seen, m.attempts, m.runs)
}

// checkInvariants checks that the request runs at most once, that no attempt that ran is reported as not run, and that
// the key cannot be claimed again after the request has run.
func (m model) checkInvariants() error {
	if m.runs > 1 {
		return errors.New("the request ran twice")
	}
	for i, a := range m.attempts {
		if a.response == "not run" && a.ran {
			return fmt.Errorf("attempt %d ran and was reported as not run", i)
		}
	}
	row, found := m.rows[key]
	if m.runs == 1 && (!found || isReleased(row)) {
		return errors.New("the request ran and its key can be claimed again")
	}
	return nil
}

func isReleased(row table.Row) bool {
	v, err := table.DecodeValue[rowValue](row)
	return err == nil && v.Released
}

func TestEveryCrashPointSendsAtMostOnce(t *testing.T) {
	states, err := explore.Run(explore.Model[model]{
		Steps: model.steps, Check: model.checkInvariants, Key: model.fingerprint, MaxStates: 2_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
