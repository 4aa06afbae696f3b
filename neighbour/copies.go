package neighbour

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// Copies holds copies of tables of the store. It is safe for concurrent use.
type Copies struct {
	mu     sync.Mutex
	tables map[string]*tableCopy
}

// Update is what brings a copy of a table up to date.
type Update struct {
	// Whole is set if Rows are the whole table, instead of the changes after the version that was asked for.
	Whole    bool                      `json:"whole,omitempty"`
	Rows     []chicoryhall.StoredRow   `json:"rows,omitempty"`
	Position chicoryhall.StorePosition `json:"position"`
	// AgeMillis is the time since the store is known to have had no change after the position, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// NewCopies returns Copies without any table.
func NewCopies() *Copies { return &Copies{tables: make(map[string]*tableCopy)} }

// Renew sets the whole content of a table like Replace, but turns the difference from the copy into changes. It is for a copy that
// has missed none.
func (c *Copies) Renew(name string, rows []chicoryhall.StoredRow, at chicoryhall.StorePosition, confirmedAt time.Time) {
	after := c.Position(name)
	if after.Era != at.Era {
		c.Replace(name, rows, at, confirmedAt)
		return
	}
	c.Apply(name, after, c.difference(name, rows), at, confirmedAt)
}

// difference returns the changes that turn the copy of a table into rows.
func (c *Copies) difference(name string, rows []chicoryhall.StoredRow) []chicoryhall.StoredRow {
	before, _, _ := c.Read(name)
	byKey := make(map[string]chicoryhall.StoredRow, len(before))
	for _, row := range before {
		byKey[row.Key] = row
	}
	var changes []chicoryhall.StoredRow
	for _, row := range rows {
		if old, known := byKey[row.Key]; !known || !bytes.Equal(old.Value, row.Value) {
			changes = append(changes, row)
		}
		delete(byKey, row.Key)
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		changes = append(changes, chicoryhall.StoredRow{Key: key, Removed: true})
	}
	return changes
}

// Replace sets the whole content of a table, as the store had it at a position that was the newest one at confirmedAt. Those who
// follow the copy read it again. It ignores an older position than that of the copy.
func (c *Copies) Replace(name string, rows []chicoryhall.StoredRow, at chicoryhall.StorePosition, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.tables[name]
	if before != nil && isEarlier(at, before.position) {
		return
	}
	whole := &tableCopy{
		rows: make(map[string]rowChange, len(rows)), position: at, confirmedAt: confirmedAt, keptSince: at.Version,
		changed: make(chan struct{}),
	}
	for _, row := range rows {
		whole.rows[row.Key] = rowChange{row: row, version: at.Version}
	}
	c.tables[name] = whole
	if before == nil {
		return
	}
	if before.position.Era == at.Era {
		whole.confirmedAt = latest(before.confirmedAt, confirmedAt)
	}
	close(before.changed)
}

// Apply adds the changes of a table after a position. It ignores them if the copy has another era or ends before that position.
func (c *Copies) Apply(name string, after chicoryhall.StorePosition, changes []chicoryhall.StoredRow, at chicoryhall.StorePosition, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil || t.position.Era != at.Era || t.position.Version < after.Version || at.Version < t.position.Version {
		return
	}
	t.confirmedAt = latest(t.confirmedAt, confirmedAt)
	if at.Version == t.position.Version {
		return
	}
	for _, row := range changes {
		t.apply(row, at.Version)
	}
	t.position = at
	close(t.changed)
	t.changed = make(chan struct{})
}

// noPosition is the position of a copy that there is not yet. Its era is none of the store's.
var noPosition = chicoryhall.StorePosition{Era: math.MinInt64}

// Position returns the position of the copy of a table. If there is none, it is one after which the whole table is new.
func (c *Copies) Position(name string) chicoryhall.StorePosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil {
		return noPosition
	}
	return t.position
}

// Age returns how long ago the copy of a table was known to be complete, and whether there is one.
func (c *Copies) Age(name string, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil {
		return 0, false
	}
	return now.Sub(t.confirmedAt), true
}

// Bytes returns the size of the keys and values that the copy of a table holds.
func (c *Copies) Bytes(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil {
		return 0
	}
	size := 0
	for key, change := range t.rows {
		size += len(key) + len(change.row.Value)
	}
	return size
}

// Since returns what brings a copy at a position up to date with this one, or false if there is none. The changes are empty if
// that copy is the newer one.
func (c *Copies) Since(name string, after chicoryhall.StorePosition, now time.Time) (Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil {
		return Update{}, false
	}
	update := Update{Position: t.position, AgeMillis: now.Sub(t.confirmedAt).Milliseconds()}
	if after.Era != t.position.Era || after.Version < t.keptSince {
		update.Whole, update.Rows = true, t.sorted()
		return update, true
	}
	update.Rows = t.changedAfter(after.Version)
	return update, true
}

// Read returns the rows of a table in the order of their keys, and whether there is a copy.
func (c *Copies) Read(name string) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tables[name]
	if t == nil {
		return nil, chicoryhall.StorePosition{}, false
	}
	return t.sorted(), t.position, true
}

// Changed returns a channel that is closed once the copy of a table moves on from its position, or nil if there is none.
func (c *Copies) Changed(name string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tables[name]; t != nil {
		return t.changed
	}
	return nil
}

// Merge brings the copy of a table up to date with an update that was asked for at askedAt, for the given position.
func (c *Copies) Merge(name string, asked chicoryhall.StorePosition, update Update, askedAt time.Time) {
	confirmedAt := askedAt.Add(-time.Duration(update.AgeMillis) * time.Millisecond)
	if update.Whole {
		c.Replace(name, update.Rows, update.Position, confirmedAt)
		return
	}
	c.Apply(name, asked, update.Rows, update.Position, confirmedAt)
}

// isEarlier reports whether a position lies before another one.
func isEarlier(a, b chicoryhall.StorePosition) bool {
	return a.Era < b.Era || a.Era == b.Era && a.Version < b.Version
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
