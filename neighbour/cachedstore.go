package neighbour

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/follow"
)

// ErrHistoryGone is what a CachedStore returns if the store, or the copy that stands for it, has no history from a position on.
var ErrHistoryGone = errors.New("the history of the table from that position on is gone")

// answerDelay is how long the answer to a request for changes may have been on its way.
const answerDelay = 200 * time.Millisecond

// While other daemons read here, the store may wait for changes for MaxAge/servingWaitDivisor, and the pause after changes is at
// most MaxAge/servingPauseDivisor, as only answers renew the age of the copies.
const (
	servingWaitDivisor  = 4
	servingPauseDivisor = 5
)

// answerMargin is how long after the end of a wait for changes the store's answer may come. After it, the answer counts as lost.
const answerMargin = follow.AnswerMargin

// errServing is why a wait for changes ends once other daemons read the copies.
var errServing = errors.New("other daemons read the copies")

// followingPause is the pause after changes that came from another daemon, which cost no call to the store.
const followingPause = 20 * time.Millisecond

// CachedStoreConfig configures a CachedStore.
type CachedStoreConfig struct {
	Store  chicoryhall.StoreReader
	Copies *Copies
	// MaxAge is the age from which on a copy is not used.
	MaxAge time.Duration
	Timer  chicoryhall.Timer
}

// CachedStore is a chicoryhall.StoreReader that reads from copies while they are fresh, and from the store otherwise. What it reads
// from the store goes to the copies.
type CachedStore struct {
	config CachedStoreConfig
	// follows is set while another daemon keeps the copies up to date.
	follows atomic.Bool

	mu sync.Mutex
	// serves is set while other daemons read the copies. waits are the functions that end the calls which wait for changes.
	serves bool
	waits  map[string]context.CancelCauseFunc
	// broken holds the tables of which changes may have been missed since the last answer of the store.
	broken map[string]bool
}

// NewCachedStore returns a CachedStore that reads from the store.
func NewCachedStore(config CachedStoreConfig) *CachedStore {
	return &CachedStore{config: config, waits: make(map[string]context.CancelCauseFunc), broken: make(map[string]bool)}
}

// SetFollowing sets whether another daemon keeps the copies up to date.
func (c *CachedStore) SetFollowing(follows bool) { c.follows.Store(follows) }

// IsFollowing reports whether another daemon keeps the copies up to date.
func (c *CachedStore) IsFollowing() bool { return c.follows.Load() }

// SetServing sets whether other daemons read the copies. Once they do, long waits for changes are ended, as only an answer renews
// the age of a copy.
func (c *CachedStore) SetServing(serves bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if serves && !c.serves {
		for _, end := range c.waits {
			end(errServing)
		}
	}
	c.serves = serves
}

// isServing reports whether other daemons read the copies.
func (c *CachedStore) isServing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serves
}

// Pause returns the pause after changes, if it is usual when no other daemon is involved.
func (c *CachedStore) Pause(usual time.Duration) time.Duration {
	switch {
	case c.follows.Load():
		return followingPause
	case c.isServing():
		return min(usual, c.config.MaxAge/servingPauseDivisor)
	default:
		return usual
	}
}

// MaxAge returns the age from which on a copy is not used.
func (c *CachedStore) MaxAge() time.Duration { return c.config.MaxAge }

// isFresh reports whether the copy of a table stands for the store.
func (c *CachedStore) isFresh(name string) bool {
	age, known := c.config.Copies.Age(name, c.config.Timer.Now())
	return c.follows.Load() && known && age < c.config.MaxAge
}

// ReadTable returns all rows of a table.
func (c *CachedStore) ReadTable(ctx context.Context, name string) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	if c.isFresh(name) {
		if rows, at, known := c.config.Copies.Read(name); known {
			return rows, at, nil
		}
	}
	begun := c.config.Timer.Now()
	rows, at, err := c.config.Store.ReadTable(ctx, name)
	switch wasBroken := c.setBroken(name, err); {
	case err != nil:
	case wasBroken:
		c.config.Copies.Replace(name, rows, at, begun)
	default:
		c.config.Copies.Renew(name, rows, at, begun)
	}
	return rows, at, err
}

// setBroken records how a call about a table ended, and returns whether changes may have been missed before. A call that its
// caller has given up shows nothing.
func (c *CachedStore) setBroken(name string, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.broken[name]
	if !errors.Is(err, context.Canceled) {
		c.broken[name] = err != nil
	}
	return before
}

// WaitForChanges returns the changes of a table after a position. It ends early without any when it has to change its source.
func (c *CachedStore) WaitForChanges(ctx context.Context, name string, after chicoryhall.StorePosition, wait time.Duration) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	if c.isFresh(name) {
		return c.waitForCopy(ctx, name, after, wait)
	}
	if c.isServing() {
		wait = min(wait, c.config.MaxAge/servingWaitDivisor)
	}
	begun := c.config.Timer.Now()
	changes, at, err := c.waitForStore(ctx, name, after, wait)
	switch {
	case errors.Is(err, errServing):
		return nil, after, nil
	case err != nil:
		c.setBroken(name, err)
		return nil, at, err
	}
	c.config.Copies.Apply(name, after, changes, at, c.confirmedAt(begun, wait, len(changes)))
	return changes, at, nil
}

// waitForStore asks the store for the changes of a table. The error is errServing if SetServing has ended the call, and
// context.DeadlineExceeded if no answer came by the end of the wait.
func (c *CachedStore) waitForStore(ctx context.Context, name string, after chicoryhall.StorePosition, wait time.Duration) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	waitCtx, end := context.WithCancelCause(ctx)
	defer end(context.Canceled)
	deadline := c.config.Timer.After(wait+answerMargin, func(time.Time) { end(context.DeadlineExceeded) })
	defer deadline.Cancel()
	c.setWait(name, end)
	defer c.setWait(name, nil)
	changes, at, err := c.config.Store.WaitForChanges(waitCtx, name, after, wait)
	if err != nil && waitCtx.Err() != nil && ctx.Err() == nil {
		err = errors.WithMessagef(context.Cause(waitCtx), "follow table %q", name)
	}
	return changes, at, err
}

// setWait sets the function that ends the call which waits for changes of a table, or nil if there is none.
func (c *CachedStore) setWait(name string, end context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if end == nil {
		delete(c.waits, name)
		return
	}
	c.waits[name] = end
}

// confirmedAt returns the time for which an answer of the store holds that was asked for at begun. An answer without changes
// comes at the end of the wait; one with changes may have been on its way for answerDelay.
func (c *CachedStore) confirmedAt(begun time.Time, wait time.Duration, changes int) time.Time {
	now := c.config.Timer.Now()
	confirmed := now.Add(-answerDelay)
	if changes == 0 {
		confirmed = begun.Add(wait)
	}
	if confirmed.After(now) {
		return now
	}
	return latest(begun, confirmed)
}

// waitForCopy returns the changes of a copy after a position.
func (c *CachedStore) waitForCopy(ctx context.Context, name string, after chicoryhall.StorePosition, wait time.Duration) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline := c.config.Timer.After(wait, func(time.Time) { cancel() })
	defer deadline.Cancel()
	for {
		changed := c.config.Copies.Changed(name)
		update, _ := c.config.Copies.Since(name, after, c.config.Timer.Now())
		switch {
		case update.Whole:
			return nil, after, ErrHistoryGone
		case len(update.Rows) > 0:
			return update.Rows, update.Position, nil
		case ctx.Err() != nil || !c.isFresh(name):
			return nil, laterPosition(after, update.Position), nil
		}
		c.waitUntilStale(ctx, name, changed)
	}
}

// laterPosition returns the later one of two positions of the same era.
func laterPosition(a, b chicoryhall.StorePosition) chicoryhall.StorePosition {
	if a.Version > b.Version {
		return a
	}
	return b
}

// waitUntilStale waits until a copy has changed or may have become too old, or ctx ends.
func (c *CachedStore) waitUntilStale(ctx context.Context, name string, changed <-chan struct{}) {
	age, _ := c.config.Copies.Age(name, c.config.Timer.Now())
	stale := make(chan struct{})
	timer := c.config.Timer.After(max(time.Millisecond, c.config.MaxAge-age), func(time.Time) { close(stale) })
	defer timer.Cancel()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-stale:
	}
}
