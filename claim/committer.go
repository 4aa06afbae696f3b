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

const (
	// maxBatchEntries bounds the entries of one batch.
	maxBatchEntries = 200
	// batchPeriod is the least time between the starts of two batches.
	batchPeriod = 20 * time.Millisecond
	// batchTimeout bounds the time to commit one batch, and one attempt to release a claim.
	batchTimeout = time.Second
	// maxConcurrentBatches bounds the batches in progress at once. It is more than 1 so that a batch whose answer is
	// lost does not hold up the others.
	maxConcurrentBatches = 4
	// retryPause is the time between two attempts while the table is unavailable.
	retryPause = 50 * time.Millisecond
	// queueSize bounds the entries that wait for a batch.
	queueSize = 20_000
	// conflictsBeforeReads is the number of conflicts of one batch after which the rows of its remaining entries are
	// read before the next transaction.
	conflictsBeforeReads = 2
	// maxConcurrentReads bounds the reads in progress for one batch.
	maxConcurrentReads = 8
)

var errQueueFull = errors.New("too many claims wait for the platform's table")

// waiter is a queued entry, with the channel on which its call of Commit receives the result.
type waiter struct {
	entry Entry
	done  chan Result
	// abandoned is set when the call no longer waits; the entry is then dropped if it is still in the queue.
	abandoned *atomic.Bool
}

// entryID identifies an entry regardless of the version that it replaces, which changes on a retry.
type entryID struct {
	key   string
	owner string
	kind  Kind
}

func (e Entry) id() entryID {
	return entryID{key: e.Key, owner: e.Owner, kind: e.Kind}
}

// Committer commits entries to the table in batches.
type Committer struct {
	store chicoryhall.Table
	timer chicoryhall.Timer // Not used: the pauses between calls take real time.

	mu    sync.Mutex
	queue []waiter
	wake  chan struct{}
}

// NewCommitter returns a Committer that commits entries while Serve runs.
func NewCommitter(store chicoryhall.Table, timer chicoryhall.Timer) *Committer {
	return &Committer{store: store, timer: timer, wake: make(chan struct{}, 1)}
}

// Commit commits an entry and returns its result. If ctx ends first, the entry may still take effect.
func (c *Committer) Commit(ctx context.Context, entry Entry) Result {
	w := waiter{entry: entry, done: make(chan Result, 1), abandoned: &atomic.Bool{}}
	if !c.enqueue(w) {
		return Result{Entry: entry, Err: errQueueFull}
	}
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
		w.abandoned.Store(true)
		return Result{Entry: entry, Err: errors.Wrap(ctx.Err(), "wait for the platform's table")}
	}
}

func (c *Committer) enqueue(w waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == queueSize {
		return false
	}
	c.queue = append(c.queue, w)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// Serve commits batches until ctx ends.
func (c *Committer) Serve(ctx context.Context) error {
	var batches errgroup.Group
	batches.SetLimit(maxConcurrentBatches)
	defer func() { _ = batches.Wait() }() // The functions return no errors.
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		batches.Go(func() error {
			c.commitBatch(ctx)
			return nil
		})
		if !pause(ctx, batchPeriod) {
			return ctx.Err()
		}
	}
}

// commitBatch commits one batch from the queue.
func (c *Committer) commitBatch(ctx context.Context) {
	batch, waiters := c.takeBatch()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	for !batch.Empty() {
		results := c.tryCommit(ctx, batch)
		if batch.ConflictCount() == conflictsBeforeReads {
			results = append(results, c.readRows(ctx, batch)...)
		}
		for _, result := range results {
			waiters[result.Entry.id()].done <- result
		}
	}
}

// readRows reads the rows of a batch after several conflicts, so that each further key that is already claimed costs a
// read instead of a transaction. If a read fails or returns a stale row, the entry stays in the batch.
func (c *Committer) readRows(ctx context.Context, batch *Batch) []Result {
	keys := batch.Keys()
	rows := make([]table.Row, len(keys))
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
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
	var results []Result
	for _, row := range rows {
		if row.Version != table.Absent {
			results = append(results, batch.HandleRow(row)...)
		}
	}
	return results
}

// takeBatch drops the abandoned entries and moves a batch out of the queue. It returns the batch and its waiters. If
// entries remain, it wakes Serve for the next batch.
func (c *Committer) takeBatch() (*Batch, map[entryID]waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = slices.DeleteFunc(c.queue, func(w waiter) bool { return w.abandoned.Load() })
	queue := make([]Entry, len(c.queue))
	for i := range c.queue {
		queue[i] = c.queue[i].entry
	}
	batch, remaining := NewBatch(queue, maxBatchEntries)
	waiters := map[entryID]waiter{}
	var remainingWaiters []waiter
	next := 0 // remaining is in the order of the queue, so one pass over both finds its waiters.
	for _, w := range c.queue {
		if next < len(remaining) && w.entry == remaining[next] {
			remainingWaiters = append(remainingWaiters, w)
			next++
			continue
		}
		waiters[w.entry.id()] = w
	}
	c.queue = remainingWaiters
	if len(remainingWaiters) > 0 {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return batch, waiters
}

// tryCommit sends one transaction and returns the results of the entries that it settles. It returns none if the caller
// has to try again: because an entry now replaces a released claim, or, after a pause, because the table was unavailable.
func (c *Committer) tryCommit(ctx context.Context, batch *Batch) []Result {
	_, err := table.Settle(ctx, c.store, batch.Transaction(rand.Text()))
	row, conflict := table.AsConflict(err)
	switch {
	case err == nil:
		return batch.HandleCommit()
	case conflict:
		return batch.HandleConflict(row)
	case ctx.Err() != nil || table.IsUnsettled(err):
		return batch.HandleFailure(err)
	}
	if !pause(ctx, retryPause) {
		return batch.HandleFailure(err)
	}
	return nil
}

// pause waits for d and returns true, or returns false if ctx ends first.
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
