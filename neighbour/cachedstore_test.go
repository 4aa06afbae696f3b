package neighbour_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/neighbour"
	"chicoryhall.example/chicoryhall/timer"
)

const testMaxAge = time.Second

var errDown = errors.New("the store is down")

// fakeStore is a StoreReader with one row, which counts the calls. Its WaitForChanges returns at once unless it hangs.
type fakeStore struct {
	clock *timer.Manual
	err   error
	hangs bool

	mu    sync.Mutex
	calls []string
	waits []time.Duration
}

func (s *fakeStore) note(call string, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	s.waits = append(s.waits, wait)
}

func (s *fakeStore) ReadTable(context.Context, string) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	s.note("read", 0)
	return []chicoryhall.StoredRow{row("a", "store")}, at(20), s.err
}

func (s *fakeStore) WaitForChanges(ctx context.Context, _ string, after chicoryhall.StorePosition, wait time.Duration) ([]chicoryhall.StoredRow, chicoryhall.StorePosition, error) {
	s.note("wait", wait)
	if s.hangs {
		<-ctx.Done()
		return nil, after, ctx.Err()
	}
	return nil, after, s.err
}

// newCachedStore returns a CachedStore with a copy at version 10 that is of a given age.
func newCachedStore(age time.Duration) (*neighbour.CachedStore, *neighbour.Copies, *fakeStore) {
	clock := timer.NewManual(start)
	store, copies := &fakeStore{clock: clock}, neighbour.NewCopies()
	copies.Replace("t", []chicoryhall.StoredRow{row("a", "copy")}, at(10), start.Add(-age))
	return neighbour.NewCachedStore(neighbour.CachedStoreConfig{Store: store, Copies: copies, MaxAge: testMaxAge, Timer: clock}), copies, store
}

func TestCachedStoreChoosesItsSource(t *testing.T) {
	for _, c := range []struct {
		name    string
		follows bool
		age     time.Duration
		table   string
		want    string
		calls   []string
	}{
		{"fresh copy", true, 999 * time.Millisecond, "t", "copy", nil},
		{"old copy", true, testMaxAge, "t", "store", []string{"read"}},
		{"follows nobody", false, 0, "t", "store", []string{"read"}},
		{"no copy", true, 0, "u", "store", []string{"read"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cached, copies, store := newCachedStore(c.age)
			cached.SetFollowing(c.follows)
			rows, _, err := cached.ReadTable(context.Background(), c.table)
			must.NoError(t, err)
			must.Eq(t, c.want, string(rows[0].Value))
			must.Eq(t, c.calls, store.calls)
			must.Eq(t, "a="+c.want+" ", content(copies, c.table))
		})
	}
}

// TestWaitForCopyEnds lets a wait for changes of a copy end by each cause.
func TestWaitForCopyEnds(t *testing.T) {
	change := []chicoryhall.StoredRow{row("a", "new")}
	for _, c := range []struct {
		name  string
		step  func(*timer.Manual, *neighbour.Copies)
		after chicoryhall.StorePosition
		want  chicoryhall.StorePosition
		rows  int
		gone  bool
	}{
		{"by a change", func(_ *timer.Manual, copies *neighbour.Copies) { copies.Apply("t", at(10), change, at(11), start) }, at(10), at(11), 1, false},
		{"by its time", func(clock *timer.Manual, _ *neighbour.Copies) { clock.Advance(300 * time.Millisecond) }, at(10), at(10), 0, false},
		{"as the copy is old", func(clock *timer.Manual, _ *neighbour.Copies) { clock.Advance(testMaxAge) }, at(10), at(10), 0, false},
		{"as the copy was replaced", func(_ *timer.Manual, copies *neighbour.Copies) { copies.Replace("t", change, at(12), start) }, at(10), at(10), 0, true},
		{"as the store was restored", func(_ *timer.Manual, copies *neighbour.Copies) {
			copies.Replace("t", change, chicoryhall.StorePosition{Version: 3, Era: 1}, start)
		}, at(10), at(10), 0, true},
		{"later than the copy", func(clock *timer.Manual, _ *neighbour.Copies) { clock.Advance(300 * time.Millisecond) }, at(15), at(15), 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(start)
			store, copies := &fakeStore{clock: clock}, neighbour.NewCopies()
			copies.Replace("t", []chicoryhall.StoredRow{row("a", "copy")}, at(10), start)
			cached := neighbour.NewCachedStore(neighbour.CachedStoreConfig{Store: store, Copies: copies, MaxAge: testMaxAge, Timer: clock})
			cached.SetFollowing(true)
			type result struct {
				rows []chicoryhall.StoredRow
				at   chicoryhall.StorePosition
				err  error
			}
			results := make(chan result, 1)
			go func() {
				rows, position, err := cached.WaitForChanges(context.Background(), "t", c.after, 250*time.Millisecond)
				results <- result{rows, position, err}
			}()
			var got result
			for done := false; !done; {
				select {
				case got = <-results:
					done = true
				case <-time.After(5 * time.Millisecond):
					c.step(clock, copies)
				}
			}
			must.Eq(t, c.gone, errors.Is(got.err, neighbour.ErrHistoryGone))
			must.Eq(t, c.want, got.at)
			must.Len(t, c.rows, got.rows)
			must.SliceEmpty(t, store.calls)
		})
	}
}

// TestServingRenewsCopies checks how long the store may wait for changes, and that a long wait ends once other daemons
// read the copies.
func TestServingRenewsCopies(t *testing.T) {
	for _, c := range []struct {
		serves bool
		want   time.Duration
	}{{false, 15 * time.Second}, {true, testMaxAge / 4}} {
		cached, _, store := newCachedStore(0)
		cached.SetServing(c.serves)
		_, _, err := cached.WaitForChanges(context.Background(), "t", at(10), 15*time.Second)
		must.NoError(t, err)
		must.Eq(t, []time.Duration{c.want}, store.waits)
	}
	cached, _, store := newCachedStore(0)
	store.hangs = true
	ended := make(chan error, 1)
	go func() {
		_, _, err := cached.WaitForChanges(context.Background(), "t", at(10), 15*time.Second)
		ended <- err
	}()
	for done := false; !done; {
		select {
		case err := <-ended:
			must.NoError(t, err)
			done = true
		case <-time.After(5 * time.Millisecond):
			cached.SetServing(false)
			cached.SetServing(true)
		}
	}
}

// TestTableIsReplacedAfterFailure checks that those who follow a copy read it again if changes may be missing, and only then.
func TestTableIsReplacedAfterFailure(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		whole bool
	}{
		{"no failure", nil, false},
		{"failure", errDown, true},
		{"given up by its caller", context.Canceled, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cached, copies, store := newCachedStore(0)
			store.err = c.err
			_, _, _ = cached.WaitForChanges(context.Background(), "t", at(10), time.Second)
			store.err = nil
			_, _, err := cached.ReadTable(context.Background(), "t")
			must.NoError(t, err)
			update, _ := copies.Since("t", at(10), start)
			must.Eq(t, c.whole, update.Whole)
		})
	}
}

// TestLostAnswerEndsWait guards against a daemon that others read from and that hears of no change for as long as it may wait without
// them: an answer that does not come counts as lost soon after the wait that the store was asked for, and changes may be missed.
func TestLostAnswerEndsWait(t *testing.T) {
	const answerMargin = 600 * time.Millisecond
	for _, c := range []struct {
		name   string
		serves bool
		wait   time.Duration
		limit  time.Duration
	}{
		{"for others", true, 15 * time.Second, testMaxAge/4 + answerMargin},
		{"for itself", false, 4 * time.Second, 4*time.Second + answerMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(start)
			store, copies := &fakeStore{clock: clock, hangs: true}, neighbour.NewCopies()
			copies.Replace("t", []chicoryhall.StoredRow{row("a", "copy")}, at(10), start)
			cached := neighbour.NewCachedStore(neighbour.CachedStoreConfig{Store: store, Copies: copies, MaxAge: testMaxAge, Timer: clock})
			cached.SetServing(c.serves)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() {
				_, _, err := cached.WaitForChanges(ctx, "t", at(10), c.wait)
				ended <- err
			}()
			store.awaitCall(t)
			clock.Advance(c.limit - time.Millisecond)
			select {
			case err := <-ended:
				t.Fatalf("the wait ended early: %v", err)
			case <-time.After(20 * time.Millisecond):
			}
			clock.Advance(time.Millisecond)
			must.ErrorIs(t, <-ended, context.DeadlineExceeded)
			must.NoError(t, ctx.Err())
			_, _, err := cached.ReadTable(ctx, "t")
			must.NoError(t, err)
			update, _ := copies.Since("t", at(10), clock.Now())
			must.True(t, update.Whole)
		})
	}
}

// awaitCall waits until the store has been called.
func (s *fakeStore) awaitCall(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		calls := len(s.calls)
		s.mu.Unlock()
		if calls > 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the store was not called")
		}
	}
}
