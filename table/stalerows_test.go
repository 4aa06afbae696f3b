package table_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/table"
)

func TestStaleRows(t *testing.T) {
	start := time.Unix(1000, 0)
	steps := []struct {
		after time.Duration
		rows  []table.Row
		want  []table.Change
	}{
		{0, []table.Row{{Key: "a", Version: 1}, {Key: "b", Version: 1}}, nil},
		{59 * time.Second, []table.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, nil},
		{time.Minute, []table.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, []table.Change{{Key: "a", IfVersion: 1, Delete: true}}},
		{61 * time.Second, []table.Row{{Key: "b", Version: 2}}, nil},
		{2 * time.Minute, []table.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, []table.Change{{Key: "b", IfVersion: 2, Delete: true}}},
	}
	stale := table.NewStaleRows(time.Minute)
	for _, step := range steps {
		must.Eq(t, step.want, stale.Observe(step.rows, start.Add(step.after)))
	}
}
