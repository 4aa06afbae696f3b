package follow_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/follow"
	"chicoryhall.example/chicoryhall/timer"
)

const testBatchDelay = 200 * time.Millisecond

// scriptedSource returns the results of steps one after another and stops the follower after the last result.
type scriptedSource struct {
	steps []step
	// stopFollower ends the follower's context.
	stopFollower context.CancelFunc
	calls        []string
	// afterVersions holds the versions that Changes was called with.
	afterVersions []int64
	callTimes     []time.Time
}

// step is the result of one call.
type step struct {
	values  []string
	changes []follow.Change[string]
	version int64
	err     error
}

func (s *scriptedSource) call(call string) step {
	s.calls = append(s.calls, call)
	s.callTimes = append(s.callTimes, time.Now())
	if len(s.steps) == 0 {
		s.stopFollower()
		return step{err: context.Canceled}
	}
	result := s.steps[0]
	s.steps = s.steps[1:]
	return result
}

func (s *scriptedSource) List(context.Context) ([]string, int64, error) {
	result := s.call("list")
	return result.values, result.version, result.err
}

func (s *scriptedSource) Changes(_ context.Context, after int64, _ time.Duration) ([]follow.Change[string], int64, error) {
	s.afterVersions = append(s.afterVersions, after)
	result := s.call("changes")
	return result.changes, result.version, result.err
}

// recordingSink records the calls that it receives. A call of Unavailable is signalled unless unavailable is full or nil.
type recordingSink struct {
	calls       []string
	unavailable chan struct{}
}

func (s *recordingSink) Replace(values []string) {
	s.calls = append(s.calls, append([]string{"replace"}, values...)...)
}

func (s *recordingSink) Update(changes []follow.Change[string]) {
	for _, change := range changes {
		s.calls = append(s.calls, "update "+change.Value)
	}
}

func (s *recordingSink) Unavailable() {
	s.calls = append(s.calls, "unavailable")
	select {
	case s.unavailable <- struct{}{}:
	default:
	}
}

func (s *recordingSink) Available() { s.calls = append(s.calls, "available") }

// run follows a source until its steps are used up.
func run(t *testing.T, steps []step) (*scriptedSource, *recordingSink) {
	t.Helper()
	return runWithBackoff(t, 0, steps)
}

// runWithBackoff follows a source with a bound on the pause after failures until its steps are used up.
func runWithBackoff(t *testing.T, maxBackoff time.Duration, steps []step) (*scriptedSource, *recordingSink) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := timer.New()
	clockCtx, stopClock := context.WithCancel(context.Background())
	defer stopClock()
	clockEnded := make(chan error, 1)
	ready := clock.After(0, func(time.Time) {})
	defer ready.Cancel()
	source, sink := &scriptedSource{steps: steps, stopFollower: cancel}, &recordingSink{}
	follower := follow.New(follow.Config[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: time.Second, BatchDelay: func() time.Duration { return testBatchDelay }, MaxBackoff: maxBackoff, Timer: clock, Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	runInBackground(clockEnded, func() error { return clock.Serve(clockCtx) })
	must.ErrorIs(t, follower.Serve(ctx), context.Canceled)
	stopClock()
	<-clockEnded
	return source, sink
}

func runInBackground(ended chan<- error, function func() error) {
	go func() { ended <- function() }()
}

// TestFollowerReadsThenWaits also checks that an answer with a lower version (7 after 8) does not make the follower
// go back.
func TestFollowerReadsThenWaits(t *testing.T) {
	change := []follow.Change[string]{{Value: "b"}}
	source, sink := run(t, []step{{values: []string{"a"}, version: 5}, {version: 5}, {changes: change, version: 8}, {version: 7}})
	must.Eq(t, []string{"list", "changes", "changes", "changes", "changes"}, source.calls)
	must.Eq(t, []int64{5, 5, 8, 8}, source.afterVersions)
	must.Eq(t, []string{"replace", "a", "update b"}, sink.calls)
}

// TestChangesAreBatched checks that the follower pauses for the batch delay after changes, but not after an
// answer without any.
func TestChangesAreBatched(t *testing.T) {
	change := []follow.Change[string]{{Value: "b"}}
	source, _ := run(t, []step{{version: 5}, {version: 5}, {changes: change, version: 8}, {version: 8}})
	must.Len(t, 5, source.callTimes)
	for i, wanted := range []time.Duration{0, 0, testBatchDelay, 0} {
		pause := source.callTimes[i+1].Sub(source.callTimes[i])
		must.Between(t, wanted, pause, wanted+testBatchDelay/2)
	}
}

// TestPausesAfterFailuresAreBounded lets reads of the table fail six times in a row.
func TestPausesAfterFailuresAreBounded(t *testing.T) {
	cases := []struct {
		name       string
		maxBackoff time.Duration
		// shortest and longest bound the last pause, which is 800 ms unless it is bounded.
		shortest time.Duration
		longest  time.Duration
	}{
		{"default", 0, 400 * time.Millisecond, 800 * time.Millisecond},
		{"shorter", 100 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond},
		{"longer", 10 * time.Second, 800 * time.Millisecond, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			failure := step{err: errors.New("down")}
			source, _ := runWithBackoff(t, c.maxBackoff, []step{failure, failure, failure, failure, failure})
			must.Len(t, 6, source.callTimes)
			must.Between(t, c.shortest, source.callTimes[5].Sub(source.callTimes[4]), c.longest)
		})
	}
}

func TestFollowerReadsTableAfterFailure(t *testing.T) {
	cases := []struct {
		name     string
		failures []step
	}{
		{"history gone", []step{{err: follow.ErrHistoryGone}}},
		{"wait failed", []step{{err: errors.New("reset")}}},
		{"store unavailable for long", slices.Repeat([]step{{err: errors.New("refused")}}, 4)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			steps := append([]step{{values: []string{"a"}, version: 5}}, c.failures...)
			source, sink := run(t, append(steps, step{values: []string{"c"}, version: 9}, step{version: 9}))
			must.Eq(t, "changes", source.calls[1])
			must.Eq(t, "list", source.calls[2])
			must.Eq(t, []int64{5, 9, 9}, source.afterVersions)
			must.Eq(t, []string{"replace", "a", "unavailable", "available", "replace", "c"}, sink.calls)
		})
	}
}

// hangingSource is a source whose Changes never returns before its context ends.
type hangingSource struct {
	lists chan struct{}
	waits chan struct{}
}

// followHanging returns a follower of a hangingSource, which has not started.
func followHanging(clock chicoryhall.Timer, maxWait time.Duration) (*follow.Follower[string], *hangingSource, *recordingSink) {
	source := &hangingSource{lists: make(chan struct{}), waits: make(chan struct{})}
	sink := &recordingSink{unavailable: make(chan struct{}, 1)}
	follower := follow.New(follow.Config[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: maxWait, Timer: clock, Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	return follower, source, sink
}

func (s *hangingSource) List(context.Context) ([]string, int64, error) {
	s.lists <- struct{}{}
	return []string{"a"}, 1, nil
}

func (s *hangingSource) Changes(ctx context.Context, _ int64, _ time.Duration) ([]follow.Change[string], int64, error) {
	s.waits <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestRefreshReadsTable checks that Refresh ends a hanging wait for changes, that it has no effect soon after
// a read, and that the store doesn't count as unavailable because of it.
func TestRefreshReadsTable(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	follower, source, sink := followHanging(clock, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	runInBackground(ended, func() error { return follower.Serve(ctx) })
	<-source.lists
	<-source.waits
	follower.Refresh()
	select {
	case <-source.lists:
		t.Fatal("the table was read again within minRefreshPause")
	case <-time.After(20 * time.Millisecond):
	}
	clock.Advance(2 * time.Second)
	follower.Refresh()
	<-source.lists
	<-source.waits
	cancel()
	<-ended
	must.Eq(t, []string{"replace", "a", "replace", "a"}, sink.calls)
}

// TestHangingWaitIsGivenUp checks that a hanging wait for changes is given up in time, and that the sink is told then.
func TestHangingWaitIsGivenUp(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	follower, source, sink := followHanging(clock, 50*time.Millisecond)
	ended := make(chan error, 2)
	runInBackground(ended, func() error { return clock.Serve(ctx) })
	runInBackground(ended, func() error { return follower.Serve(ctx) })
	<-source.lists
	<-source.waits
	start := time.Now()
	<-sink.unavailable
	must.Less(t, 2*follow.AnswerMargin, time.Since(start))
	<-source.lists
	<-source.waits
	cancel()
	<-ended
	<-ended
	must.Eq(t, []string{"replace", "a", "unavailable", "available", "replace", "a"}, sink.calls[:6])
}

// TestDistrustedWaitIsGivenUp guards against a follower that waits on for an answer which was lost, while a call about another table
// has shown that the store's answers get lost. It reads the whole table, but not twice within minRefreshPause, and the store does not count
// as unavailable: rows that were missing after an outage would be kept once more then.
func TestDistrustedWaitIsGivenUp(t *testing.T) {
	const minRefreshPause = time.Second
	cases := []struct {
		name string
		// age is the time since the last read of the whole table, and pause the time after which it is read again.
		age   time.Duration
		pause time.Duration
	}{
		{"long after a read", 10 * time.Second, 0},
		{"soon after a read", 300 * time.Millisecond, 700 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			follower, source, sink := followHanging(clock, time.Minute)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			runInBackground(ended, func() error { return follower.Serve(ctx) })
			<-source.lists
			<-source.waits
			clock.Advance(c.age)
			follower.Distrust()
			follower.Distrust()
			if c.pause > 0 {
				clock.Advance(c.pause - time.Millisecond)
				source.checkNoRead(t)
				clock.Advance(time.Millisecond)
			} else {
				clock.Advance(0)
			}
			source.awaitRead(t)
			<-source.waits
			clock.Advance(2 * minRefreshPause)
			source.checkNoRead(t)
			cancel()
			must.ErrorIs(t, <-ended, context.Canceled)
			must.Eq(t, []string{"replace", "a", "replace", "a"}, sink.calls)
		})
	}
}

// checkNoRead fails the test if the whole table is read within 20 ms.
func (s *hangingSource) checkNoRead(t *testing.T) {
	t.Helper()
	select {
	case <-s.lists:
		t.Fatal("the table was read again")
	case <-time.After(20 * time.Millisecond):
	}
}

// awaitRead waits until the whole table is read.
func (s *hangingSource) awaitRead(t *testing.T) {
	t.Helper()
	select {
	case <-s.lists:
	case <-time.After(5 * time.Second):
		t.Fatal("the table is not read again")
	}
}
