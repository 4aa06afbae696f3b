package claim

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// The bounds of a Committer.
const (
	maxBatch = 200
	// minPeriod lies between the beginnings of two batches of one daemon.
	minPeriod = 20 * time.Millisecond
	// batchTimeout bounds the settling of one batch.
	batchTimeout = time.Second
	// maxBatches is how many batches are settled at once, so that one whose answer is lost does not hold up the others.
	maxBatches = 4
	// retryPause lies between two tries while the table refuses.
	retryPause = 50 * time.Millisecond
	maxWaiting = 20_000
	// conflictsBeforeReading is how many conflicts of one batch make the others be read first.
	conflictsBeforeReading = 2
	maxReads               = 8
)

var errFull = errors.New("too many claims wait for the platform's table")

// waiter is one entry and who waits for its verdict.
type waiter struct {
	entry Entry
	done  chan Verdict
	// gone tells that nobody waits any more; the entry is then left out.
	gone *atomic.Bool
}

// entryID names an entry whatever version it replaces.
type entryID struct {
	key   string
	owner string
	kind  Kind
}

func (e Entry) id() entryID {
	return entryID{key: e.Key, owner: e.Owner, kind: e.Kind}
}

// Committer commits entries in batches.
type Committer struct {
	store chicoryhall.Table
	timer chicoryhall.Timer

	mu      sync.Mutex
	waiting []waiter
	wake    chan struct{}
}

// NewCommitter returns a Committer that works once Serve runs.
func NewCommitter(store chicoryhall.Table, timer chicoryhall.Timer) *Committer {
	return &Committer{store: store, timer: timer, wake: make(chan struct{}, 1)}
}

// Commit returns the verdict of an entry; when ctx ends first, the entry may still take effect.
func (c *Committer) Commit(ctx context.Context, entry Entry) Verdict {
	w := waiter{entry: entry, done: make(chan Verdict, 1), gone: &atomic.Bool{}}
	if !c.enqueue(w) {
		return Verdict{Entry: entry, Err: errFull}
	}
	select {
	case verdict := <-w.done:
		return verdict
	case <-ctx.Done():
		w.gone.Store(true)
		return Verdict{Entry: entry, Err: errors.Wrap(ctx.Err(), "wait for the platform's table")}
	}
}

func (c *Committer) enqueue(w waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == maxWaiting {
		return false
	}
	c.waiting = append(c.waiting, w)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// Serve commits batches until ctx ends.
func (c *Committer) Serve(ctx context.Context) error {
	var batches errgroup.Group
	batches.SetLimit(maxBatches)
	defer func() { _ = batches.Wait() }() // The functions return no errors.
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		batches.Go(func() error {
			c.commitAll(ctx)
			return nil
		})
		if !pause(ctx, minPeriod) {
			return ctx.Err()
		}
	}
}

// commitAll commits one batch and wakes itself while entries wait.
func (c *Committer) commitAll(ctx context.Context) {
	batch, waiters := c.take()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for !batch.Empty() {
		verdicts := c.try(ctx, batch)
		if batch.Conflicts() == conflictsBeforeReading {
			verdicts = append(verdicts, c.readAll(ctx, batch)...)
		}
		for _, verdict := range verdicts {
			waiters[verdict.Entry.id()].done <- verdict
		}
	}
}

// readAll reads the rows of a batch in which several are taken already, so that each
// of them costs a read and not a transaction; a stale row is found out by its version.
func (c *Committer) readAll(ctx context.Context, batch *Batch) []Verdict {
	keys := batch.Keys()
	rows := make([]table.Row, len(keys))
	var group errgroup.Group
	group.SetLimit(maxReads)
	for i, key := range keys {
		group.Go(func() error {
			row, found, err := c.store.Row(ctx, key)
			if found && err == nil {
				rows[i] = row
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	var verdicts []Verdict
	for _, row := range rows {
		if row.Version != table.Absent {
			verdicts = append(verdicts, batch.Read(row)...)
		}
	}
	return verdicts
}

// take moves a batch out of the queue.
func (c *Committer) take() (*Batch, map[entryID]waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool { return w.gone.Load() })
	queue := make([]Entry, len(c.waiting))
	for i := range c.waiting {
		queue[i] = c.waiting[i].entry
	}
	batch, later := NewBatch(queue, maxBatch)
	waiters := map[entryID]waiter{}
	var rest []waiter
	next := 0
	for _, w := range c.waiting {
		if next < len(later) && w.entry == later[next] {
			rest = append(rest, w)
			next++
			continue
		}
		waiters[w.entry.id()] = w
	}
	c.waiting = rest
	if len(rest) > 0 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return batch, waiters
}

// try makes one transaction and returns the verdicts that it settled.
func (c *Committer) try(ctx context.Context, batch *Batch) []Verdict {
	_, err := table.Settle(ctx, c.store, batch.Transaction(rand.Text()))
	row, conflict := table.IsConflict(err)
	switch {
	case err == nil:
		return batch.Committed()
	case conflict:
		return batch.Conflict(row)
	case ctx.Err() != nil || table.IsUnsettled(err):
		return batch.Failed(err)
	}
	if !pause(ctx, retryPause) {
		return batch.Failed(err)
	}
	return nil
}

// pause waits and tells whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
