package follow

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// ErrHistoryGone means that the store no longer has the changes after a version.
var ErrHistoryGone = errors.New("the store has dropped the history of the table")

const (
	// AnswerMargin is how much longer than the wait for changes an answer may take.
	AnswerMargin = 600 * time.Millisecond
	// listTimeout bounds a read of the whole table.
	listTimeout = 2 * time.Second
	// refreshPeriod is the time between two reads of the whole table if nothing fails.
	refreshPeriod = 30 * time.Second
	// minRefreshPause is the least time between a read of the whole table and another one requested by Verify.
	minRefreshPause = time.Second
	// minBackoff and maxBackoff bound the pause after a failure, which doubles with each consecutive failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Change is a written or removed row.
type Change[T any] struct {
	Value   T
	Removed bool
}

// Source is a table that can be read and whose changes can be awaited.
type Source[T any] interface {
	// List returns the whole table and its version.
	List(ctx context.Context) (values []T, version int64, err error)
	// Changes waits for changes after a version and returns them in order. It may return none.
	Changes(ctx context.Context, after int64, wait time.Duration) (changes []Change[T], version int64, err error)
}

// Sink receives the content of a table.
type Sink[T any] interface {
	// Replace receives the whole table.
	Replace(values []T)
	// Update receives changes in order.
	Update(changes []Change[T])
	// Unavailable is called when the store cannot be reached, Available when it can be reached again, right
	// before Replace.
	Unavailable()
	Available()
}

// Config configures a Follower.
type Config[T any] struct {
	// Name is the table's name in logs.
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// MaxWait is how long the store may take to answer while there are no changes. A request for changes that
	// hangs is noticed after the sum of MaxWait and AnswerTimeout.
	MaxWait time.Duration
	// BatchDelay is the pause after changes, so that the next answer contains several of them.
	BatchDelay time.Duration
	// OnUnavailable is called when the store becomes unavailable; it may be nil.
	OnUnavailable func()
	Timer         chicoryhall.Timer
	Log           *event.Logger
}

// Follower keeps a sink up to date while Serve runs.
type Follower[T any] struct {
	config Config[T]
	// version is that of the sink's content.
	version int64
	// failures counts consecutive failures.
	failures    int
	unavailable bool

	mu sync.Mutex
	// lastRead is when the whole table was last read; the zero time makes a read due.
	lastRead time.Time
	// cancelWait cancels the current wait for changes; it is nil if there is none.
	cancelWait context.CancelFunc
}

// New returns a Follower that has read nothing yet.
func New[T any](config Config[T]) *Follower[T] {
	return &Follower[T]{config: config}
}

// String returns the name under which the supervisor logs this service.
func (f *Follower[T]) String() string { return "follower of " + f.config.Name }

// Refresh makes the Follower read the whole table now, unless it did so within verifyPause. It is called when
// something else suggests that the copy is out of date: a source that stopped sending changes doesn't show it
// itself.
func (f *Follower[T]) Refresh() {
	now := f.config.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelWait == nil || now.Sub(f.lastRead) < minRefreshPause {
		return
	}
	f.lastRead = time.Time{}
	f.cancelWait()
}

// Serve follows the table until ctx ends.
func (f *Follower[T]) Serve(ctx context.Context) error {
	mustRead := true
	for ctx.Err() == nil {
		var err error
		if mustRead || f.isReadDue() {
			err = f.readTable(ctx)
		} else {
			err = f.waitForChanges(ctx)
		}
		mustRead = err != nil
		if err != nil && ctx.Err() == nil {
			f.handleFailure(ctx, err)
		}
	}
	return ctx.Err()
}

// isReadDue reports whether the whole table has to be read again.
func (f *Follower[T]) isReadDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Timer.Now().Sub(f.lastRead) >= refreshPeriod
}

// setCancelWait sets the function that cancels the current wait for changes.
func (f *Follower[T]) setCancelWait(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelWait = cancel
}

// readTable reads the whole table into the sink.
func (f *Follower[T]) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	values, version, err := f.config.Source.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "read the whole table")
	}
	// The sink has to know that the store is available again before it sees which rows are missing.
	f.markAvailable()
	f.config.Sink.Replace(values)
	f.version = version
	f.mu.Lock()
	f.lastRead = f.config.Timer.Now()
	f.mu.Unlock()
	return nil
}

// waitForChanges waits for the next changes and passes them to the sink.
func (f *Follower[T]) waitForChanges(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, f.config.MaxWait+AnswerMargin)
	defer cancel()
	f.setCancelWait(cancel)
	changes, version, err := f.config.Source.Changes(waitCtx, f.version, f.config.MaxWait)
	f.setCancelWait(nil)
	if err != nil && f.isReadDue() {
		return nil // Verify canceled the wait.
	}
	if err != nil {
		return errors.WithMessage(err, "wait for changes")
	}
	f.failures = 0
	f.version = max(f.version, version)
	if len(changes) > 0 {
		f.config.Sink.Update(changes)
		f.sleep(ctx, f.config.BatchDelay)
	}
	return nil
}

// markAvailable records that the store has answered.
func (f *Follower[T]) markAvailable() {
	if f.unavailable {
		f.unavailable = false
		f.config.Log.Log(event.StoreAvailable, "table", f.config.Name, "version", f.version, "failures", f.failures)
		f.config.Sink.Available()
	}
	f.failures = 0
}

// handleFailure records a failure, notifies the sink of the first one and pauses.
func (f *Follower[T]) handleFailure(ctx context.Context, err error) {
	if !f.unavailable {
		f.unavailable = true
		f.config.Log.Log(event.StoreUnavailable, "table", f.config.Name, "version", f.version, "error", err)
		f.config.Sink.Unavailable()
		if f.config.OnUnavailable != nil {
			f.config.OnUnavailable()
		}
	}
	pause := min(maxBackoff, minBackoff<<min(f.failures, 8))
	f.failures++
	f.sleep(ctx, pause)
}

// pause waits for a time or until ctx ends.
func (f *Follower[T]) sleep(ctx context.Context, duration time.Duration) {
	elapsed := make(chan struct{})
	timer := f.config.Timer.After(duration, func(time.Time) { close(elapsed) })
	defer timer.Cancel()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}
