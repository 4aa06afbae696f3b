package timer_test

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
	"weak"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/timer"
)

// TestCancelledCallsHoldNothing guards against memory that grows with the rate of requests times their time budget (LOST): a call
// that is cancelled long before it is due must not keep what its function refers to, nor itself.
func TestCancelledCallsHoldNothing(t *testing.T) {
	const calls, maxGrowth = 100_000, 1 << 20
	cases := []struct {
		name  string
		timer chicoryhall.Timer
	}{
		{"service", timer.New()},
		{"manual", timer.NewManual(time.Unix(0, 0))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := c.timer.After(time.Hour, func(time.Time) {}) // Later ones are not at the head of a queue.
			defer first.Cancel()
			body, subscription := subscribe(c.timer)
			subscription.Cancel()
			runtime.GC()
			must.Nil(t, body.Value())
			before := heapInUse()
			for range calls {
				c.timer.After(2*time.Hour, func(time.Time) {}).Cancel()
			}
			must.Less(t, maxGrowth, heapInUse()-before)
			runtime.KeepAlive(subscription)
		})
	}
}

// subscribe schedules a call whose function refers to a body.
func subscribe(source chicoryhall.Timer) (weak.Pointer[[1024]byte], chicoryhall.Subscription) {
	body := new([1024]byte)
	return weak.Make(body), source.After(2*time.Hour, func(time.Time) { body[0]++ })
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestCancelledCallsAreNotMade cancels random calls, some twice and some from a call, and checks that exactly the others are made
// in their order.
func TestCancelledCallsAreNotMade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := timer.NewManual(time.Unix(0, 0))
		delays := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 30).Draw(t, "delays")
		cancelled := rapid.SliceOfN(rapid.IntRange(0, len(delays)-1), 0, 2*len(delays)).Draw(t, "cancelled")
		cancelAt := rapid.IntRange(0, 21).Draw(t, "cancel at")
		subscriptions := make([]chicoryhall.Subscription, len(delays))
		m.After(time.Duration(cancelAt)*time.Second, func(time.Time) {
			for _, i := range cancelled {
				subscriptions[i].Cancel()
			}
		})
		var made, want []int
		for i, delay := range delays {
			subscriptions[i] = m.After(time.Duration(delay)*time.Second, func(time.Time) { made = append(made, i) })
		}
		for second := 1; second <= 20; second++ {
			for i, delay := range delays {
				if delay == second && (delay < cancelAt || !slices.Contains(cancelled, i)) {
					want = append(want, i)
				}
			}
		}
		m.Advance(time.Minute)
		must.Eq(t, want, made)
	})
}

// TestTickCancelledInItsCall cancels a periodic call from within, and another one between two calls.
func TestTickCancelledInItsCall(t *testing.T) {
	m := timer.NewManual(time.Unix(0, 0))
	ticks := 0
	var ticking chicoryhall.Subscription
	ticking = m.Every(time.Second, func(time.Time) {
		if ticks++; ticks == 3 {
			ticking.Cancel()
		}
	})
	m.Advance(10 * time.Second)
	must.Eq(t, 3, ticks)
	ticking.Cancel()
}

// TestCancelWhileServing cancels and makes calls on several goroutines while the service runs.
func TestCancelWhileServing(t *testing.T) {
	const workers, calls = 4, 2000
	s := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	var serving, working sync.WaitGroup
	var served error
	serving.Go(func() { served = s.Serve(ctx) })
	made := make(chan struct{}, workers*calls)
	for range workers {
		working.Go(func() {
			for range calls {
				s.After(time.Hour, func(time.Time) { panic("a cancelled call") }).Cancel()
				s.After(time.Microsecond, func(time.Time) { made <- struct{}{} })
			}
		})
	}
	working.Wait()
	for range workers * calls {
		<-made
	}
	cancel()
	serving.Wait()
	must.ErrorIs(t, served, context.Canceled)
}
