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

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/follow"
	"chicoryhall.example/chicoryhall/timer"
)

// testGather is the pause behind changes.
const testGather = 200 * time.Millisecond

// script answers calls one after another and ends the follower behind the last one.
type script struct {
	steps []step
	end   context.CancelFunc
	calls []string
	after []int64
	// at is when each call was made.
	at []time.Time
}

// step is the answer to one call.
type step struct {
	values  []string
	changes []follow.Change[string]
	version int64
	err     error
}

func (s *script) next(call string) step {
	s.calls = append(s.calls, call)
	s.at = append(s.at, time.Now())
	if len(s.steps) == 0 {
		s.end()
		return step{err: context.Canceled}
	}
	first := s.steps[0]
	s.steps = s.steps[1:]
	return first
}

func (s *script) List(context.Context) ([]string, int64, error) {
	one := s.next("list")
	return one.values, one.version, one.err
}

func (s *script) Changes(_ context.Context, after int64, _ time.Duration) ([]follow.Change[string], int64, error) {
	s.after = append(s.after, after)
	one := s.next("changes")
	return one.changes, one.version, one.err
}

// notes is a sink that writes down what it is told.
type notes struct{ told []string }

func (n *notes) Replace(values []string) {
	n.told = append(n.told, append([]string{"replace"}, values...)...)
}

func (n *notes) Update(changes []follow.Change[string]) {
	for _, change := range changes {
		n.told = append(n.told, "update "+change.Value)
	}
}

func (n *notes) Unavailable() { n.told = append(n.told, "away") }

func (n *notes) Available() { n.told = append(n.told, "back") }

func run(t *testing.T, steps []step) (*script, *notes) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	clock := timer.New()
	ticking, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	ready := clock.After(0, func(time.Time) {})
	defer ready.Cancel()
	source, sink := &script{steps: steps, end: cancel}, &notes{}
	follower := follow.New(follow.Config[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: time.Second, BatchDelay: testGather, Timer: clock, Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	serve(ended, func() error { return clock.Serve(ticking) })
	must.ErrorIs(t, follower.Serve(ctx), context.Canceled)
	stop()
	<-ended
	return source, sink
}

func serve(ended chan<- error, function func() error) {
	go func() { ended <- function() }()
}

func TestFollowerReadsThenWaits(t *testing.T) {
	change := []follow.Change[string]{{Value: "b"}}
	source, sink := run(t, []step{{values: []string{"a"}, version: 5}, {version: 5}, {changes: change, version: 8}, {version: 7}})
	must.Eq(t, []string{"list", "changes", "changes", "changes", "changes"}, source.calls)
	must.Eq(t, []int64{5, 5, 8, 8}, source.after)
	must.Eq(t, []string{"replace", "a", "update b"}, sink.told)
}

// TestChangesGather waits behind changes, but not behind an answer without any.
func TestChangesGather(t *testing.T) {
	change := []follow.Change[string]{{Value: "b"}}
	source, _ := run(t, []step{{version: 5}, {version: 5}, {changes: change, version: 8}, {version: 8}})
	must.Len(t, 5, source.at)
	for i, wanted := range []time.Duration{0, 0, testGather, 0} {
		pause := source.at[i+1].Sub(source.at[i])
		must.Between(t, wanted, pause, wanted+testGather/2)
	}
}

func TestFollowerReadsAgainAfterTrouble(t *testing.T) {
	cases := []struct {
		name    string
		trouble []step
	}{
		{"history gone", []step{{err: follow.ErrHistoryGone}}},
		{"feed lost", []step{{err: errors.New("reset")}}},
		{"store away for long", slices.Repeat([]step{{err: errors.New("refused")}}, 4)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			steps := append([]step{{values: []string{"a"}, version: 5}}, c.trouble...)
			source, sink := run(t, append(steps, step{values: []string{"c"}, version: 9}, step{version: 9}))
			must.Eq(t, "changes", source.calls[1])
			must.Eq(t, "list", source.calls[2])
			must.Eq(t, []int64{5, 9, 9}, source.after)
			must.Eq(t, []string{"replace", "a", "away", "back", "replace", "c"}, sink.told)
		})
	}
}

// deaf is a source whose feed never answers by itself.
type deaf struct {
	lists chan struct{}
	waits chan struct{}
}

func (d *deaf) List(context.Context) ([]string, int64, error) {
	d.lists <- struct{}{}
	return []string{"a"}, 1, nil
}

func (d *deaf) Changes(ctx context.Context, _ int64, _ time.Duration) ([]follow.Change[string], int64, error) {
	d.waits <- struct{}{}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// TestVerifyReadsAgainAtOnce plays a feed that is deaf: a doubt ends the wait, a second one soon after
// does not, and the store does not count as lost.
func TestVerifyReadsAgainAtOnce(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	source, sink := &deaf{lists: make(chan struct{}), waits: make(chan struct{})}, &notes{}
	follower := follow.New(follow.Config[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: time.Second, Timer: clock, Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	serve(ended, func() error { return follower.Serve(ctx) })
	<-source.lists
	<-source.waits
	follower.Verify()
	select {
	case <-source.lists:
		t.Fatal("the table was read again at once")
	case <-time.After(20 * time.Millisecond):
	}
	clock.Advance(2 * time.Second)
	follower.Verify()
	<-source.lists
	<-source.waits
	cancel()
	<-ended
	must.Eq(t, []string{"replace", "a", "replace", "a"}, sink.told)
}

// TestLosingOneFeedVerifiesTheOther hangs a feed as a silent store does: it is given up after its wait, and
// the follower of another table is told.
func TestLosingOneFeedVerifiesTheOther(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	lost := make(chan struct{}, 1)
	source, sink := &deaf{lists: make(chan struct{}), waits: make(chan struct{})}, &notes{}
	follower := follow.New(follow.Config[string]{
		Name: "t", Source: source, Sink: sink, MaxWait: 50 * time.Millisecond, OnUnavailable: func() { lost <- struct{}{} },
		Timer: clock, Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	ended := make(chan error, 2)
	serve(ended, func() error { return clock.Serve(ctx) })
	serve(ended, func() error { return follower.Serve(ctx) })
	<-source.lists
	<-source.waits
	began := time.Now()
	<-lost
	must.Less(t, 2*follow.AnswerTimeout, time.Since(began))
	<-source.lists
	<-source.waits
	cancel()
	<-ended
	<-ended
	must.Eq(t, []string{"replace", "a", "away", "back", "replace", "a"}, sink.told[:6])
}
