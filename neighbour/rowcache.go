package neighbour

import (
	"context"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/timer"
)

// minReadPause is the least time between two reads of the rows with one prefix for other daemons.
const minReadPause = 100 * time.Millisecond

// RowCache reads rows of a table once for all daemons that ask for them at about the same time. It is safe for concurrent use.
type RowCache struct {
	table chicoryhall.Table
	timer chicoryhall.Timer

	mu       sync.Mutex
	prefixes map[string]*cachedRows
}

// cachedRows are the rows with one prefix.
type cachedRows struct {
	// reading holds a token while the rows are read. Those who wait for it get the result, if it is recent enough for them.
	reading chan struct{}

	mu   sync.Mutex
	rows []table.Row
	// begunAt is when the read began that has returned the rows, or zero.
	begunAt time.Time
}

// NewRowCache returns a RowCache of a table.
func NewRowCache(source chicoryhall.Table, clock chicoryhall.Timer) *RowCache {
	return &RowCache{table: source, timer: clock, prefixes: make(map[string]*cachedRows)}
}

// Rows returns the rows with a key prefix, as they were at most maxAge before the call or later.
func (c *RowCache) Rows(ctx context.Context, prefix string, maxAge time.Duration) ([]table.Row, error) {
	cached := c.of(prefix)
	notBefore := c.timer.Now().Add(-maxAge)
	if rows, ok := cached.since(notBefore); ok {
		return rows, nil
	}
	select {
	case cached.reading <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-cached.reading }()
	if rows, ok := cached.since(notBefore); ok {
		return rows, nil
	}
	if err := c.pause(ctx, cached); err != nil {
		return nil, err
	}
	return c.read(ctx, prefix, cached)
}

// of returns the cached rows with a prefix.
func (c *RowCache) of(prefix string) *cachedRows {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.prefixes[prefix]
	if cached == nil {
		cached = &cachedRows{reading: make(chan struct{}, 1)}
		c.prefixes[prefix] = cached
	}
	return cached
}

// since returns the rows if the read that has returned them began at or after a time.
func (r *cachedRows) since(notBefore time.Time) ([]table.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows, !r.begunAt.IsZero() && !r.begunAt.Before(notBefore)
}

// pause waits until minReadPause has passed since the last read began.
func (c *RowCache) pause(ctx context.Context, cached *cachedRows) error {
	cached.mu.Lock()
	left := minReadPause - c.timer.Now().Sub(cached.begunAt)
	cached.mu.Unlock()
	if left <= 0 {
		return nil
	}
	return timer.Sleep(ctx, c.timer, left)
}

// read reads the rows with a prefix.
func (c *RowCache) read(ctx context.Context, prefix string, cached *cachedRows) ([]table.Row, error) {
	begun := c.timer.Now()
	rows, err := c.table.Rows(ctx, prefix)
	if err != nil {
		return nil, err
	}
	cached.mu.Lock()
	defer cached.mu.Unlock()
	cached.rows, cached.begunAt = rows, begun
	return rows, nil
}
