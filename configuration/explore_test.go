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

// phase is how far an operator's change has come.
type phase int

const (
	phaseIdle phase = iota
	phaseHead
	phaseWrite
	phaseLost
	phaseAccepted
	phaseConflict
)

// change is one operator's change at one daemon.
type change struct {
	phase       phase
	version     Version
	transaction table.Transaction
	publication *Publication
	lost        bool
}

// world is two daemons, one change at each, and the table.
type world struct {
	rows    map[string]table.Row
	backup  map[string]table.Row
	daemons [2]map[string]Version
	changes [2]change
	// highest is the greatest number that each daemon had since it started.
	highest  [2]int64
	restarts int
	restored bool
	reverted bool
}

const service = "s"

func (w world) clone() world {
	w.rows = maps.Clone(w.rows)
	for i := range w.daemons {
		w.daemons[i] = maps.Clone(w.daemons[i])
	}
	return w
}

func (w *world) state(i int) *State {
	s := NewState()
	for _, v := range w.daemons[i] {
		s.Accept(v)
	}
	return s
}

// learn gives daemon i a version through the real State.
func (w *world) learn(i int, v Version) {
	s := w.state(i)
	s.Accept(v)
	v, known := s.Version(service)
	if !known {
		return
	}
	w.daemons[i][service] = v
	w.reverted = w.reverted || v.Number < w.highest[i]
	w.highest[i] = max(w.highest[i], v.Number)
}

// transact runs one transaction through the table's rules.
func (w *world) transact(transaction table.Transaction) (table.Result, error) {
	store := &tabletest.Store{}
	store.Restore(w.rows)
	result, err := store.Transact(context.Background(), transaction)
	w.rows = store.Snapshot()
	return result, err
}

// advance returns every next step of change i.
func (w world) advance(i int) []explore.Step[world] {
	name := func(text string) string { return fmt.Sprintf("operator %d %s", i, text) }
	next := w.clone()
	c := &next.changes[i]
	switch c.phase {
	case phaseIdle:
		known := next.daemons[i][service]
		text := fmt.Sprintf("text %d", i)
		c.version = Version{Service: service, Number: known.Number + 1, Text: text, Digest: DigestOf(text)}
		c.publication = NewPublication(c.version, fmt.Sprintf("nonce %d", i))
		c.phase = phaseHead
		return []explore.Step[world]{{Name: name("proposes"), Next: next}}
	case phaseHead:
		return []explore.Step[world]{
			{Name: name("reads the head"), Next: w.readHead(i, w.rows)},
			{Name: name("reads a stale head"), Next: w.readHead(i, w.backup)},
		}
	case phaseWrite, phaseLost:
		steps := []explore.Step[world]{{Name: name("writes"), Next: w.write(i, false)}}
		if c.phase == phaseWrite {
			steps = append(steps, explore.Step[world]{Name: name("writes and the answer is lost"), Next: w.write(i, true)})
		} else {
			steps = append(steps, explore.Step[world]{Name: name("reads its witness"), Next: w.readWitness(i, w.rows)},
				explore.Step[world]{Name: name("reads a stale witness"), Next: w.readWitness(i, w.backup)})
		}
		return steps
	}
	return nil
}

func (w world) readHead(i int, rows map[string]table.Row) world {
	next := w.clone()
	c := &next.changes[i]
	head, found := rows[c.publication.HeadKey()]
	if v, known := w.daemons[1-i][service]; known {
		next.learn(i, v)
	}
	transaction, err := c.publication.Write(head, found, next.daemons[i][service])
	c.transaction, c.phase = transaction, phaseWrite
	if err != nil {
		c.phase = phaseConflict
	}
	return next
}

func (w world) settlement(i int) *table.Settlement {
	s := table.NewSettlement(w.changes[i].transaction)
	if w.changes[i].lost {
		s.Wrote(table.Result{}, table.NewError("write", "table", table.Unsettled, errors.New("lost")))
	}
	return s
}

func (w world) write(i int, lost bool) world {
	next := w.clone()
	c := &next.changes[i]
	result, err := next.transact(c.transaction)
	if lost {
		c.lost, c.phase = true, phaseLost
		return next
	}
	_, done, err := w.settlement(i).Wrote(result, err)
	next.settle(i, done, err)
	return next
}

func (w world) readWitness(i int, rows map[string]table.Row) world {
	next := w.clone()
	row, found := rows[w.changes[i].transaction.Changes[0].Key]
	_, done, err := w.settlement(i).Read(row, found)
	next.settle(i, done, err)
	return next
}

func (w *world) settle(i int, done bool, err error) {
	switch {
	case done && err == nil:
		w.changes[i].phase = phaseAccepted
		w.learn(i, w.changes[i].version)
	case done:
		w.changes[i].phase = phaseConflict
	}
}

// poll lets daemon i read the table and write forward what the table lacks.
func (w world) poll(i int, rows map[string]table.Row) world {
	next := w.clone()
	head, found := rows[headKey(service)]
	mark, _ := headMark(head, found)
	marks := []Mark{}
	if found {
		marks = append(marks, mark)
	}
	for _, missing := range next.state(i).Missing(marks) {
		if v, err := decodeVersion(rows[historyKey(service, missing.Number)]); err == nil {
			next.learn(i, v)
		}
	}
	for _, v := range w.state(i).Ahead(marks) {
		_, _ = next.transact(Repair(v, head, fmt.Sprintf("repair %d by %d", v.Number, i)))
	}
	return next
}

func (w world) steps() []explore.Step[world] {
	var steps []explore.Step[world]
	for i := range 2 {
		steps = append(steps, w.advance(i)...)
		steps = append(steps, explore.Step[world]{Name: fmt.Sprintf("daemon %d polls", i), Next: w.poll(i, w.rows)},
			explore.Step[world]{Name: fmt.Sprintf("daemon %d polls stale rows", i), Next: w.poll(i, w.backup)})
		if v, known := w.daemons[1-i][service]; known {
			next := w.clone()
			next.learn(i, v)
			steps = append(steps, explore.Step[world]{Name: fmt.Sprintf("daemon %d hears from its peer", i), Next: next})
		}
	}
	if w.restarts == 0 {
		next := w.clone()
		next.restarts++
		next.daemons[1], next.highest[1] = map[string]Version{}, 0
		steps = append(steps, explore.Step[world]{Name: "daemon 1 restarts", Next: next})
	}
	return append(steps, w.restore()...)
}

// restore loses the table's newest rows once, when daemon 0, which never restarts, knows them.
func (w world) restore() []explore.Step[world] {
	head, found := w.rows[headKey(service)]
	mark, _ := headMark(head, found)
	settled := func(c change) bool { return c.phase != phaseWrite && c.phase != phaseLost }
	if w.restored || w.daemons[0][service].Number < mark.Number || !settled(w.changes[0]) || !settled(w.changes[1]) {
		return nil
	}
	next := w.clone()
	next.restored, next.rows = true, maps.Clone(w.backup)
	return []explore.Step[world]{{Name: "the table is restored", Next: next}}
}

func (w world) key() string {
	return fmt.Sprint(w.rows, w.daemons, w.highest, w.restarts, w.restored, w.reverted,
		w.changes[0].phase, w.changes[0].version, w.changes[0].transaction, w.changes[0].lost, w.changes[0].publication,
		w.changes[1].phase, w.changes[1].version, w.changes[1].transaction, w.changes[1].lost, w.changes[1].publication)
}

// check is the promise: accepted once, never reverted, and a refused change is nowhere.
func (w world) check() error {
	if w.reverted {
		return errors.New("a daemon went back to an older version")
	}
	first, second := w.changes[0], w.changes[1]
	if first.phase == phaseAccepted && second.phase == phaseAccepted && first.version.Number == second.version.Number {
		return fmt.Errorf("version %d was accepted twice", first.version.Number)
	}
	for i, c := range w.changes {
		if c.phase == phaseConflict && w.holds(c.version) {
			return fmt.Errorf("the change of operator %d was refused and is in the table or in force", i)
		}
	}
	return nil
}

func (w world) holds(v Version) bool {
	inForce := slices.ContainsFunc(w.daemons[:], func(known map[string]Version) bool { return known[service].Digest == v.Digest })
	row, found := w.rows[historyKey(service, v.Number)]
	stored, err := decodeVersion(row)
	return inForce || (found && err == nil && stored.Digest == v.Digest)
}

func TestEveryInterleavingAcceptsOnceAndNeverReverts(t *testing.T) {
	first := Version{Service: service, Number: 1, Text: "first", Digest: DigestOf("first")}
	rows := map[string]table.Row{
		headKey(service):       {Key: headKey(service), Value: encode(first.Mark()), Version: 1, Nonce: "n"},
		historyKey(service, 1): {Key: historyKey(service, 1), Value: encode(first), Version: 1, Nonce: "n"},
	}
	initial := world{rows: rows, backup: maps.Clone(rows), highest: [2]int64{1, 1}}
	for i := range initial.daemons {
		initial.daemons[i] = map[string]Version{service: first}
	}
	states, err := explore.Run(explore.Model[world]{
		Initial: initial, Key: world.key, Steps: world.steps, Check: world.check, MaxStates: 2_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
