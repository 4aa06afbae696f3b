package chicoryhall

import (
	"context"
	"time"
)

// StoredRow is a row of a table of the platform's store, or the key of one that was removed.
type StoredRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// StorePosition is a moment in the history of the store: a version, and the era that it belongs to.
type StorePosition struct {
	Version int64 `json:"version"`
	Era     int64 `json:"era"`
}

// StoreReader reads the tables of the store and waits for their changes.
type StoreReader interface {
	// ReadTable returns all rows of a table and the position from which WaitForChanges continues.
	ReadTable(ctx context.Context, name string) (rows []StoredRow, at StorePosition, err error)
	// WaitForChanges returns the rows that were changed or removed after a position, in order, and the position behind them.
	// While there are none, it waits for up to wait.
	WaitForChanges(ctx context.Context, name string, after StorePosition, wait time.Duration) (changes []StoredRow, at StorePosition, err error)
}
