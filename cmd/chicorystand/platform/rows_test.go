package platform

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/table"
)

// A transaction whose condition is not met changes nothing and names the conflicting row. Versions of a key increase
// even when its row is deleted in between.
func TestTransactionAppliesAllChangesOrNone(t *testing.T) {
	insert := func(key string) table.Change { return table.Change{Key: key, Value: "v", IfVersion: table.Absent} }
	update := func(key string, version int64) table.Change {
		return table.Change{Key: key, Value: "w", IfVersion: version}
	}
	remove := func(key string) table.Change {
		return table.Change{Key: key, IfVersion: table.AnyVersion, Delete: true}
	}
	cases := []struct {
		name        string
		before      [][]table.Change // transactions that are committed first
		changes     []table.Change
		conflictKey string // the key of the conflicting row, or empty
		versions    []int64
	}{
		{"insert two", nil, []table.Change{insert("a"), insert("b")}, "", []int64{1, 1}},
		{"insert twice", [][]table.Change{{insert("a")}}, []table.Change{insert("b"), insert("a")}, "a", nil},
		{"update the current version", [][]table.Change{{insert("a")}}, []table.Change{update("a", 1)}, "", []int64{2}},
		{"update an old version", [][]table.Change{{insert("a")}, {update("a", 1)}}, []table.Change{update("a", 1)}, "a", nil},
		{"insert after a delete", [][]table.Change{{insert("a")}, {remove("a")}}, []table.Change{insert("a")}, "", []int64{3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRows()
			for _, changes := range c.before {
				must.True(t, r.apply(&table.Transaction{Nonce: "before", Changes: changes}).Committed)
			}
			before := len(r.current)
			result := r.apply(&table.Transaction{Nonce: "now", Changes: c.changes})
			must.Eq(t, c.conflictKey == "", result.Committed)
			must.Eq(t, c.versions, result.Versions)
			if c.conflictKey != "" {
				must.Eq(t, c.conflictKey, result.Conflict.Key)
				must.Eq(t, before, len(r.current))
			}
		})
	}
}

func TestCloneKeepsOldRows(t *testing.T) {
	r := newRows()
	r.apply(&table.Transaction{Nonce: "1", Changes: []table.Change{{Key: "a", Value: "old"}}})
	snapshot := r.clone()
	r.apply(&table.Transaction{Nonce: "2", Changes: []table.Change{{Key: "a", Value: "new", IfVersion: 1}}})
	must.Eq(t, "old", snapshot.withPrefix("")[0].Value)
	must.Eq(t, "new", r.withPrefix("")[0].Value)
}
