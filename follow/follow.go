package follow

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

// ErrHistoryGone tells that the changes behind a version are not kept any more.
var ErrHistoryGone = errors.New("the store has dropped the history of the table")

const (
	// AnswerTimeout bounds an answer beyond the wait for changes.
	AnswerTimeout = 600 * time.Millisecond
	// listTimeout bounds the read of the whole table.
	listTimeout = 2 * time.Second
	// verifyPeriod lies between two reads of the whole table without trouble.
	verifyPeriod = 30 * time.Second
	// doubtPause is the least time between two reads that were asked for by Verify.
	doubtPause = time.Second
	// firstPause and longestPause bound the pause after a failure; it doubles with each in a row.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Change is one row that was written or removed.
type Change[T any] struct {
	Value   T
	Removed bool
}

// Source is a table that can be read whole and followed.
type Source[T any] interface {
	// List returns the whole table and its version.
	List(ctx context.Context) (values []T, version int64, err error)
	// Changes waits for changes behind a version and returns them in order; there may be none.
	Changes(ctx context.Context, after int64, wait time.Duration) (changes []Change[T], version int64, err error)
}

// Sink takes what a table holds.
type Sink[T any] interface {
	// Replace takes the whole table.
	Replace(values []T)
	// Update takes changes in their order.
	Update(changes []Change[T])
	// Away tells that the store cannot be reached, Back that it answers again and has been read.
	Unavailable()
	Available()
}

// Config is what a Follower needs.
type Config[T any] struct {
	// Name is the table's name in logs.
	Name   string
	Source Source[T]
	Sink   Sink[T]
	// MaxWait is how long the store may hold a feed without changes; with AnswerTimeout it bounds how
	// long a feed that hangs goes unnoticed.
	MaxWait time.Duration
	// BatchDelay is the pause behind changes, in which more of them gather for the next answer.
	BatchDelay time.Duration
	// OnUnavailable is called when the store is lost, or is nil.
	OnUnavailable func()
	Timer         chicoryhall.Timer
	Log           *event.Logger
}

// Follower keeps a sink current while Serve runs.
type Follower[T any] struct {
	config Config[T]
	// version is that of the sink's content; verified is when the table was last read whole.
	version  int64
	failures int
	away     bool

	mu       sync.Mutex
	verified time.Time
	// stop ends the wait for changes that is in progress.
	stop context.CancelFunc
}

// New returns a Follower that has read nothing yet.
func New[T any](config Config[T]) *Follower[T] {
	return &Follower[T]{config: config}
}

// String names the part in the supervisor's reports.
func (f *Follower[T]) String() string { return "follower of " + f.config.Name }

// Verify asks for a read of the whole table now, as something shows that the copy may be old: a feed
// that is deaf shows nothing itself.
func (f *Follower[T]) Verify() {
	now := f.config.Timer.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop == nil || now.Sub(f.verified) < doubtPause {
		return
	}
	f.verified = time.Time{}
	f.stop()
}

// Serve follows the table until ctx ends.
func (f *Follower[T]) Serve(ctx context.Context) error {
	mustList := true
	for ctx.Err() == nil {
		var err error
		if mustList || f.isUnverified() {
			err = f.list(ctx)
		} else {
			err = f.wait(ctx)
		}
		mustList = err != nil
		if err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
	return ctx.Err()
}

// isUnverified tells whether the whole table is to be read again.
func (f *Follower[T]) isUnverified() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Timer.Now().Sub(f.verified) >= verifyPeriod
}

// setStop sets what ends the wait in progress.
func (f *Follower[T]) setStop(stop context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
}

// list reads the whole table.
func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	values, version, err := f.config.Source.List(ctx)
	if err != nil {
		return errors.WithMessage(err, "read the whole table")
	}
	// The sink must know that the store is back before it sees what is missing.
	f.regained()
	f.config.Sink.Replace(values)
	f.version = version
	f.mu.Lock()
	f.verified = f.config.Timer.Now()
	f.mu.Unlock()
	return nil
}

// wait takes the next changes.
func (f *Follower[T]) wait(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, f.config.MaxWait+AnswerTimeout)
	defer cancel()
	f.setStop(cancel)
	changes, version, err := f.config.Source.Changes(waiting, f.version, f.config.MaxWait)
	f.setStop(nil)
	if err != nil && f.isUnverified() {
		return nil // The wait was ended by Verify.
	}
	if err != nil {
		return errors.WithMessage(err, "wait for changes")
	}
	f.failures = 0
	f.version = max(f.version, version)
	if len(changes) > 0 {
		f.config.Sink.Update(changes)
		f.pause(ctx, f.config.BatchDelay)
	}
	return nil
}

func (f *Follower[T]) regained() {
	if f.away {
		f.away = false
		f.config.Log.Log(event.StoreAvailable, "table", f.config.Name, "version", f.version, "failures", f.failures)
		f.config.Sink.Available()
	}
	f.failures = 0
}

// failed notes a failure and pauses.
func (f *Follower[T]) failed(ctx context.Context, err error) {
	if !f.away {
		f.away = true
		f.config.Log.Log(event.StoreUnavailable, "table", f.config.Name, "version", f.version, "error", err)
		f.config.Sink.Unavailable()
		if f.config.OnUnavailable != nil {
			f.config.OnUnavailable()
		}
	}
	pause := min(longestPause, firstPause<<min(f.failures, 8))
	f.failures++
	f.pause(ctx, pause)
}

func (f *Follower[T]) pause(ctx context.Context, pause time.Duration) {
	over := make(chan struct{})
	waiting := f.config.Timer.After(pause, func(time.Time) { close(over) })
	defer waiting.Cancel()
	select {
	case <-ctx.Done():
	case <-over:
	}
}
