package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/timer"
)

func TestManualCallsInOrder(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	var calls []string
	m.After(30*time.Millisecond, func(time.Time) { calls = append(calls, "after") })
	every := m.Every(20*time.Millisecond, func(time.Time) { calls = append(calls, "every") })
	m.Advance(50 * time.Millisecond)
	every.Cancel()
	m.Advance(50 * time.Millisecond)
	must.Eq(t, []string{"every", "after", "every"}, calls)
}

func TestServiceCallsAndStops(t *testing.T) {
	s := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	fired := make(chan struct{})
	s.After(time.Millisecond, func(time.Time) { close(fired) })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Serve(ctx) }()
	<-fired
	cancel()
	must.ErrorIs(t, <-stopped, context.Canceled)
}
