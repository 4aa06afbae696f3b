package neighbour

import (
	"context"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// SharedRows are rows that daemons need to read only once for all.
type SharedRows struct {
	Prefix string
	// MaxAge is how long ago the rows may have been read, by the need of those who use them.
	MaxAge time.Duration
}

// SharedTable is a chicoryhall.Table that asks another daemon for shared rows. It reads the table itself if there is none, or if
// that one does not answer.
type SharedTable struct {
	chicoryhall.Table
	shared []SharedRows
	// ask asks another daemon for the rows with a prefix. It returns false if there is none that answers.
	ask func(ctx context.Context, rows SharedRows) ([]table.Row, bool)
}

// NewSharedTable returns a SharedTable of a table.
func NewSharedTable(source chicoryhall.Table, shared []SharedRows, ask func(context.Context, SharedRows) ([]table.Row, bool)) *SharedTable {
	return &SharedTable{Table: source, shared: shared, ask: ask}
}

// Rows returns the rows whose keys have a prefix, in the order of their keys.
func (t *SharedTable) Rows(ctx context.Context, prefix string) ([]table.Row, error) {
	if rows, ok := t.askFor(ctx, prefix); ok {
		return rows, nil
	}
	return t.Table.Rows(ctx, prefix)
}

// Row returns one row.
func (t *SharedTable) Row(ctx context.Context, key string) (table.Row, bool, error) {
	prefix := key[:strings.IndexByte(key, '/')+1]
	rows, ok := t.askFor(ctx, prefix)
	if !ok {
		return t.Table.Row(ctx, key)
	}
	for _, row := range rows {
		if row.Key == key {
			return row, true, nil
		}
	}
	return table.Row{}, false, nil
}

// askFor asks for the rows with a prefix if they are shared.
func (t *SharedTable) askFor(ctx context.Context, prefix string) ([]table.Row, bool) {
	for _, rows := range t.shared {
		if rows.Prefix == prefix {
			return t.ask(ctx, rows)
		}
	}
	return nil, false
}
