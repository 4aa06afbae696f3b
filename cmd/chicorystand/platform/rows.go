package platform

import (
	"maps"
	"slices"
	"strings"

	"chicoryhall.example/chicoryhall/table"
)

// MaxChanges is the maximum number of rows that one transaction may change.
const MaxChanges = 256

// rows is the content of the table.
type rows struct {
	current map[string]table.Row // by key
	// removed holds the last version of each deleted row, so that the versions of a row increase also if it is deleted
	// and written again. Only the action restore sets versions back, like restoring a backup.
	removed map[string]int64
}

func newRows() *rows {
	return &rows{current: map[string]table.Row{}, removed: map[string]int64{}}
}

func (r *rows) clone() *rows {
	return &rows{current: maps.Clone(r.current), removed: maps.Clone(r.removed)}
}

// apply makes all changes of a transaction. If the condition of one is not met, it makes none and returns the row in
// conflict.
func (r *rows) apply(transaction *table.Transaction) table.Result {
	for i := range transaction.Changes {
		change := &transaction.Changes[i]
		row := r.current[change.Key]
		row.Key = change.Key
		if change.IfVersion != table.AnyVersion && change.IfVersion != row.Version {
			return table.Result{Conflict: &row}
		}
	}
	result := table.Result{Committed: true}
	for i := range transaction.Changes {
		result.Versions = append(result.Versions, r.applyChange(&transaction.Changes[i], transaction.Nonce))
	}
	return result
}

// applyChange makes one change, whose condition is met, and returns the row's new version.
func (r *rows) applyChange(change *table.Change, nonce string) int64 {
	version := max(r.current[change.Key].Version, r.removed[change.Key]) + 1
	delete(r.removed, change.Key)
	if change.Delete {
		delete(r.current, change.Key)
		r.removed[change.Key] = version
		return version
	}
	r.current[change.Key] = table.Row{Key: change.Key, Value: change.Value, Version: version, Nonce: nonce}
	return version
}

// withPrefix returns the rows whose keys start with prefix, in key order.
func (r *rows) withPrefix(prefix string) []table.Row {
	found := []table.Row{}
	for key, row := range r.current {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return found
}
