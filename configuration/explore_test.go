package configuration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/explore"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

// changePhase is the phase that an operator's change has reached.
type changePhase int

const (
	phaseIdle changePhase = iota
	phaseReadHead
	phaseWrite
	phaseAnswerLost
	phaseAccepted
	phaseConflict
)

// change is one operator's change at one daemon.
type change struct {
	phase       changePhase
	version     Version
	transaction table.Transaction
	publication *Publication
	answerLost  bool
}

// model is the state explored: two daemons, one change at each, and the table.
type model struct {
	rows map[string]table.Row
	// backup holds the rows at the start, which a restore brings back and which stale reads return.
	backup  map[string]table.Row
	daemons [2]map[string]Version
	changes [2]change
	// highest is the highest version number that each daemon has had since it started.
	highest  [2]int64
	restarts int
	restored bool
	// wentBack is set when a daemon's current version was replaced by an older one.
	wentBack bool
}

const service = "s"

func (m model) clone() model {
	m.rows = maps.Clone(m.rows)
	for i := range m.daemons {
		m.daemons[i] = maps.Clone(m.daemons[i])
	}
	return m
}

func (m *model) state(i int) *State {
	s := NewState()
	for _, v := range m.daemons[i] {
		s.Update(v)
	}
	return s
}

// apply passes a version to daemon i through a real State.
func (m *model) apply(i int, v Version) {
	s := m.state(i)
	s.Update(v)
	v, known := s.Version(service)
	if !known {
		return
	}
	m.daemons[i][service] = v
	m.wentBack = m.wentBack || v.Number < m.highest[i]
	m.highest[i] = max(m.highest[i], v.Number)
}

// transact runs one transaction on an in-memory table.
func (m *model) transact(transaction table.Transaction) (table.Result, error) {
	store := &tabletest.Store{}
	store.Restore(m.rows)
	result, err := store.Transact(context.Background(), transaction)
	m.rows = store.Snapshot()
	return result, err
}

// changeSteps returns the possible next steps of change i.
func (m model) changeSteps(i int) []explore.Step[model] {
	name := func(text string) string { return fmt.Sprintf("operator %d %s", i, text) }
	next := m.clone()
	c := &next.changes[i]
	switch c.phase {
	case phaseIdle:
		known := next.daemons[i][service]
		text := fmt.Sprintf("text %d", i)
		c.version = Version{Service: service, Number: known.Number + 1, Text: text, Digest: DigestOf(text)}
		c.publication = NewPublication(c.version, fmt.Sprintf("nonce %d", i))
		c.phase = phaseReadHead
		return []explore.Step[model]{{Name: name("proposes"), Next: next}}
	case phaseReadHead:
		return []explore.Step[model]{
			{Name: name("reads the head"), Next: m.readHead(i, m.rows)},
			{Name: name("reads a stale head"), Next: m.readHead(i, m.backup)},
		}
	case phaseWrite, phaseAnswerLost:
		steps := []explore.Step[model]{{Name: name("writes"), Next: m.write(i, false)}}
		if c.phase == phaseWrite {
			steps = append(steps, explore.Step[model]{Name: name("writes and the answer is lost"), Next: m.write(i, true)})
		} else {
			steps = append(steps, explore.Step[model]{Name: name("reads its witness"), Next: m.readWitness(i, m.rows)},
				explore.Step[model]{Name: name("reads a stale witness"), Next: m.readWitness(i, m.backup)})
		}
		return steps
	}
	return nil
}

// readHead reads the head from the given rows, fetches the peer's version, and computes the transaction of change i.
func (m model) readHead(i int, rows map[string]table.Row) model {
	next := m.clone()
	c := &next.changes[i]
	head, found := rows[c.publication.HeadKey()]
	if v, known := m.daemons[1-i][service]; known {
		next.apply(i, v)
	}
	transaction, err := c.publication.Transaction(head, found, next.daemons[i][service])
	c.transaction, c.phase = transaction, phaseWrite
	if err != nil {
		c.phase = phaseConflict
	}
	return next
}

func (m model) settlement(i int) *table.Settlement {
	s := table.NewSettlement(m.changes[i].transaction)
	if m.changes[i].answerLost {
		s.HandleAnswer(table.Result{}, table.NewError("write", "table", table.Unsettled, errors.New("lost")))
	}
	return s
}

func (m model) write(i int, lost bool) model {
	next := m.clone()
	c := &next.changes[i]
	result, err := next.transact(c.transaction)
	if lost {
		c.answerLost, c.phase = true, phaseAnswerLost
		return next
	}
	_, done, err := m.settlement(i).HandleAnswer(result, err)
	next.settle(i, done, err)
	return next
}

func (m model) readWitness(i int, rows map[string]table.Row) model {
	next := m.clone()
	row, found := rows[m.changes[i].transaction.Changes[0].Key]
	_, done, err := m.settlement(i).HandleWitness(row, found)
	next.settle(i, done, err)
	return next
}

func (m *model) settle(i int, done bool, err error) {
	switch {
	case done && err == nil:
		m.changes[i].phase = phaseAccepted
		m.apply(i, m.changes[i].version)
	case done:
		m.changes[i].phase = phaseConflict
	}
}

// poll lets daemon i read the given rows, fetch newer versions and repair the table.
func (m model) poll(i int, rows map[string]table.Row) model {
	next := m.clone()
	head, found := rows[headKey(service)]
	ref, _ := headRef(head, found)
	refs := []VersionRef{}
	if found {
		refs = append(refs, ref)
	}
	for _, missing := range next.state(i).Missing(refs) {
		if v, err := decodeVersion(rows[historyKey(service, missing.Number)]); err == nil {
			next.apply(i, v)
		}
	}
	for _, v := range m.state(i).NewerThan(refs) {
		_, _ = next.transact(Repair(v, head, fmt.Sprintf("repair %d by %d", v.Number, i)))
	}
	return next
}

func (m model) steps() []explore.Step[model] {
	var steps []explore.Step[model]
	for i := range 2 {
		steps = append(steps, m.changeSteps(i)...)
		steps = append(steps, explore.Step[model]{Name: fmt.Sprintf("daemon %d polls", i), Next: m.poll(i, m.rows)},
			explore.Step[model]{Name: fmt.Sprintf("daemon %d polls stale rows", i), Next: m.poll(i, m.backup)})
		if v, known := m.daemons[1-i][service]; known {
			next := m.clone()
			next.apply(i, v)
			steps = append(steps, explore.Step[model]{Name: fmt.Sprintf("daemon %d fetches from its peer", i), Next: next})
		}
	}
	if m.restarts == 0 {
		next := m.clone()
		next.restarts++
		next.daemons[1], next.highest[1] = map[string]Version{}, 0
		steps = append(steps, explore.Step[model]{Name: "daemon 1 restarts", Next: next})
	}
	return append(steps, m.restore()...)
}

// restore resets the table to its backup, at most once, and only while daemon 0, which never restarts, knows the
// newest version and no write is in progress.
func (m model) restore() []explore.Step[model] {
	head, found := m.rows[headKey(service)]
	ref, _ := headRef(head, found)
	settled := func(c change) bool { return c.phase != phaseWrite && c.phase != phaseAnswerLost }
	if m.restored || m.daemons[0][service].Number < ref.Number || !settled(m.changes[0]) || !settled(m.changes[1]) {
		return nil
	}
	next := m.clone()
	next.restored, next.rows = true, maps.Clone(m.backup)
	return []explore.Step[model]{{Name: "the table is restored", Next: next}}
}

func (m model) fingerprint() string {
	return fmt.Sprint(m.rows, m.daemons, m.highest, m.restarts, m.restored, m.wentBack,
		m.changes[0].phase, m.changes[0].version, m.changes[0].transaction, m.changes[0].answerLost, m.changes[0].publication,
		m.changes[1].phase, m.changes[1].version, m.changes[1].transaction, m.changes[1].answerLost, m.changes[1].publication)
}

// checkInvariants checks that each version number is accepted at most once, that no daemon goes back to an older
// version, and that a refused change is neither in the table nor current at any daemon.
func (m model) checkInvariants() error {
	if m.wentBack {
		return errors.New("a daemon went back to an older version")
	}
	first, second := m.changes[0], m.changes[1]
	if first.phase == phaseAccepted && second.phase == phaseAccepted && first.version.Number == second.version.Number {
		return fmt.Errorf("version %d was accepted twice", first.version.Number)
	}
	for i, c := range m.changes {
		if c.phase == phaseConflict && m.isStoredOrCurrent(c.version) {
			return fmt.Errorf("the change of operator %d was refused and is in the table or current at a daemon", i)
		}
	}
	return nil
}

func (m model) isStoredOrCurrent(v Version) bool {
	current := slices.ContainsFunc(m.daemons[:], func(known map[string]Version) bool { return known[service].Digest == v.Digest })
	row, found := m.rows[historyKey(service, v.Number)]
	stored, err := decodeVersion(row)
	return current || (found && err == nil && stored.Digest == v.Digest)
}

func TestEveryInterleavingAcceptsOnceAndNeverReverts(t *testing.T) {
	first := Version{Service: service, Number: 1, Text: "first", Digest: DigestOf("first")}
	rows := map[string]table.Row{
		headKey(service):       {Key: headKey(service), Value: encode(first.Ref()), Version: 1, Nonce: "n"},
		historyKey(service, 1): {Key: historyKey(service, 1), Value: encode(first), Version: 1, Nonce: "n"},
	}
	initial := model{rows: rows, backup: maps.Clone(rows), highest: [2]int64{1, 1}}
	for i := range initial.daemons {
		initial.daemons[i] = map[string]Version{service: first}
	}
	states, err := explore.Run(explore.Model[model]{
		Initial: initial, Key: model.fingerprint, Steps: model.steps, Check: model.checkInvariants, MaxStates: 2_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
