package neighbour

import (
	"cmp"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// maxKeptRemovals bounds the removed rows of a table whose keys are kept for daemons that know an older version. Those that need
// more get the whole table.
const maxKeptRemovals = 512

// tableCopy is a copy of one table.
type tableCopy struct {
	// rows holds the latest change of each row, removals since keptSince included. Earlier changes are not kept, as a row may be
	// large and may change often.
	rows     map[string]rowChange
	position chicoryhall.StorePosition
	// confirmedAt is the latest time at which the store is known to have had no change after the position.
	confirmedAt time.Time
	// removals are the removed rows of rows, the earliest first.
	removals  []removal
	keptSince int64
	// changes counts the changes that were applied.
	changes uint64
	// changed is closed when the position moves.
	changed chan struct{}
}

// rowChange is the latest change of a row, and the version that the copy had with it. Among the changes of a table, order is the
// number of the change.
type rowChange struct {
	row     chicoryhall.StoredRow
	version int64
	order   uint64
}

// removal is the removal of the row with a key, and its order.
type removal struct {
	key   string
	order uint64
}

// apply adds one change, which replaces an earlier one of the same row.
func (t *tableCopy) apply(row chicoryhall.StoredRow, version int64) {
	t.changes++
	if row.Removed {
		row.Value = nil
		t.removals = append(t.removals, removal{key: row.Key, order: t.changes})
	}
	t.rows[row.Key] = rowChange{row: row, version: version, order: t.changes}
	t.forgetRemovals()
}

// forgetRemovals drops the earliest removals beyond maxKeptRemovals.
func (t *tableCopy) forgetRemovals() {
	for len(t.removals) > maxKeptRemovals {
		earliest := t.removals[0]
		t.removals = t.removals[1:]
		change := t.rows[earliest.key]
		if change.order != earliest.order {
			continue // The row was written or removed again.
		}
		t.keptSince = change.version
		delete(t.rows, earliest.key)
	}
}

// changedAfter returns the latest change of each row that has changed after a version, in the order of these changes.
func (t *tableCopy) changedAfter(version int64) []chicoryhall.StoredRow {
	if version >= t.position.Version {
		return nil
	}
	var changes []rowChange
	for _, change := range t.rows {
		if change.version > version {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b rowChange) int { return cmp.Compare(a.order, b.order) })
	rows := make([]chicoryhall.StoredRow, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, change.row)
	}
	return rows
}

// sorted returns the rows that are there in the order of their keys.
func (t *tableCopy) sorted() []chicoryhall.StoredRow {
	rows := make([]chicoryhall.StoredRow, 0, len(t.rows))
	for _, change := range t.rows {
		if !change.row.Removed {
			rows = append(rows, change.row)
		}
	}
	slices.SortFunc(rows, func(a, b chicoryhall.StoredRow) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}
