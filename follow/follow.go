package follow

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// ErrHistoryGone is what a Source may return from Changes if the store no longer has the changes after the
// given version. Like any other failure, it makes the Follower read the whole table.
var ErrHistoryGone = errors.New("the store has dropped the history of the table")

// errReadDue ends a wait for changes because of Refresh or Distrust.
var errReadDue = errors.New("the whole table is read instead")

const (
	// AnswerMargin is added to MaxWait for the timeout of a request for changes.
	AnswerMargin = 600 * time.Millisecond
	// listTimeout bounds a read of the whole table.
	listTimeout = 2 * time.Second
	// refreshPeriod is the time between two reads of the whole table if nothing fails.
	refreshPeriod = 30 * time.Second
	// minRefreshPause is the least time between a read of the whole table and another one because of Refresh or
	// Distrust.
	minRefreshPause = time.Second
	// minBackoff and defaultMaxBackoff bound the pause after a failure, which doubles with each consecutive failure.
	minBackoff        = 50 * time.Millisecond
	defaultMaxBackoff = 400 * time.Millisecond
)

// Change is a row that was written or removed. Value is its content, or identifies it if it was removed.
type Change[T any] struct {
	Value   T
	Removed bool
}

// Source reads a table and waits for its changes.
type Source[T any] interface {
	// List returns the whole table and its version.
	List(ctx context.Context) (values []T, version int64, err error)
	// Changes waits up to wait for changes after a version of the table. It returns them in order, or none,
	// and the version of the table after them.
	Changes(ctx context.Context, after int64, wait time.Duration) (changes []Change[T], version int64, err error)
}

// Sink receives the content of a table.
type Sink[T any] interface {
	// Replace receives the whole table.
	Replace(values []T)
	// Update receives changes in order.
	Update(changes []Change[T])
	// Unavailable is called after a failure of any kind, ErrHistoryGone included, because the sink misses changes
	// from then on. Available is called once the whole table could be read again, right before Replace gets it, so
	// that the sink knows that rows may be missing from that Replace because of the outage.
	Unavailable()
	Available()
}

// Config configures a Follower.
type Config[T any] struct {
	// Name is the table's name in logs.
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// MaxWait is how long the store may wait for changes before it answers without any. A request for changes
	// that hangs is noticed after the sum of MaxWait and AnswerMargin.
	MaxWait time.Duration
	// BatchDelay returns the pause after changes, so that the next answer contains several of them.
	BatchDelay func() time.Duration
	// MaxBackoff bounds the pause after a failure; if it is 0, defaultMaxBackoff does.
	MaxBackoff time.Duration
	Timer      chicoryhall.Timer
	Log        *event.Logger
}

// Follower keeps a sink up to date while Serve runs.
type Follower[T any] struct {
	config Config[T]
	// version is that of the sink's content. It and the next two fields are only used by Serve.
	version int64
	// failures counts consecutive failures.
	failures    int
	unavailable bool

	mu sync.Mutex
	// lastRead is when the whole table was last read; the zero time makes a read due.
	lastRead time.Time
	// isDistrusted is set from Distrust until a read of the whole table begins.
	isDistrusted bool
	// endWait ends the current wait for changes; it is nil if there is none.
	endWait context.CancelCauseFunc
}

// New returns a Follower that has read nothing yet.
func New[T any](config Config[T]) *Follower[T] {
	if config.MaxBackoff == 0 {
		config.MaxBackoff = defaultMaxBackoff
	}
	return &Follower[T]{config: config}
}

// String returns the name under which the supervisor logs this service.
func (f *Follower[T]) String() string { return "follower of " + f.config.Name }

// Refresh cancels the current wait for changes and makes the Follower read the whole table. It does nothing if
// there is no wait at the moment, or if the last read of the whole table was less than minRefreshPause ago. It is
// for callers that find the copy out of date: if the store stops sending changes without an error, the Follower
// itself only corrects that at its next periodic read.
func (f *Follower[T]) Refresh() {
	now := f.config.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endWait == nil || now.Sub(f.lastRead) < minRefreshPause {
		return
	}
	f.lastRead = time.Time{}
	f.endWait(errReadDue)
}

// Distrust takes the current wait for changes for one that hangs, as another call to the same store has failed: the answer to this
// one may be lost as well. The Follower reads the whole table, at the earliest minRefreshPause after the last time. Unlike a failure of its
// own, this does not make the store count as unavailable: rows that are missing from an answer are gone.
func (f *Follower[T]) Distrust() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isDistrusted {
		f.isDistrusted = true
		f.planEndOfWait()
	}
}

// planEndOfWait ends the current wait for changes as soon as the whole table may be read again. The caller holds f.mu.
func (f *Follower[T]) planEndOfWait() {
	pause := minRefreshPause - f.config.Timer.Now().Sub(f.lastRead)
	f.config.Timer.After(max(0, pause), func(time.Time) { f.endDistrustedWait() })
}

// endDistrustedWait ends the current wait for changes if Distrust was called since the last read of the whole table.
func (f *Follower[T]) endDistrustedWait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDistrusted && f.endWait != nil {
		f.endWait(errReadDue)
	}
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
	age := f.config.Timer.Now().Sub(f.lastRead)
	return age >= refreshPeriod || f.isDistrusted && age >= minRefreshPause
}

// beginWait sets the function that ends the wait for changes which begins.
func (f *Follower[T]) beginWait(end context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWait = end
	if f.isDistrusted {
		f.planEndOfWait()
	}
}

// markWaitEnded records that there is no wait for changes.
func (f *Follower[T]) markWaitEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endWait = nil
}

// beginRead records that a read of the whole table begins, which shows all changes before.
func (f *Follower[T]) beginRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDistrusted = false
}

// readTable reads the whole table into the sink.
func (f *Follower[T]) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.beginRead()
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
	limited, cancel := context.WithTimeout(ctx, f.config.MaxWait+AnswerMargin)
	defer cancel()
	waitCtx, end := context.WithCancelCause(limited)
	defer end(context.Canceled)
	f.beginWait(end)
	changes, version, err := f.config.Source.Changes(waitCtx, f.version, f.config.MaxWait)
	f.markWaitEnded()
	switch {
	case err != nil && errors.Is(context.Cause(waitCtx), errReadDue):
		return nil
	case err != nil:
		return errors.WithMessage(err, "wait for changes")
	}
	f.failures = 0
	// If the answer's version is lower than the known one, changes after it would be sent again.
	f.version = max(f.version, version)
	if len(changes) > 0 {
		f.config.Sink.Update(changes)
		f.sleep(ctx, f.config.BatchDelay())
	}
	return nil
}

// markAvailable resets the failures and notifies the sink if the store was unavailable.
func (f *Follower[T]) markAvailable() {
	if f.unavailable {
		f.unavailable = false
		f.config.Log.Log(event.StoreAvailable, "table", f.config.Name, "version", f.version, "failures", f.failures)
		f.config.Sink.Available()
	}
	f.failures = 0
}

// handleFailure notifies the sink when the store becomes unavailable, and pauses.
func (f *Follower[T]) handleFailure(ctx context.Context, err error) {
	if !f.unavailable {
		f.unavailable = true
		f.config.Log.Log(event.StoreUnavailable, "table", f.config.Name, "version", f.version, "error", err)
		f.config.Sink.Unavailable()
	}
	pause := min(f.config.MaxBackoff, minBackoff<<min(f.failures, 8)) // Bounded to avoid an overflow.
	f.failures++
	f.sleep(ctx, pause)
}

// sleep waits for a duration or until ctx ends, which Serve notices.
func (f *Follower[T]) sleep(ctx context.Context, duration time.Duration) {
	_ = timer.Sleep(ctx, f.config.Timer, duration)
}
