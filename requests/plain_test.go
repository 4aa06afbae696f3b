package requests

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// readyEndpoints is an Endpoints whose endpoints are all ready.
type readyEndpoints struct{}

func (readyEndpoints) View(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady}
}

func (readyEndpoints) Observe(chicoryhall.EndpointID, chicoryhall.Observation) {}

func (readyEndpoints) Begin(chicoryhall.EndpointID) {}

func (readyEndpoints) End(chicoryhall.EndpointID) {}

func (readyEndpoints) Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {}

// retriesLeft is a RetryBudgets with a number of retries.
type retriesLeft struct{ left atomic.Int32 }

func (*retriesLeft) CountSuccess(chicoryhall.ServiceName) {}

func (r *retriesLeft) Take(chicoryhall.ServiceName) (bool, time.Duration) {
	return r.left.Add(-1) >= 0, time.Second
}

// startCallee starts an endpoint that answers calls after a pause.
func startCallee(t *testing.T, pause time.Duration) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(pause)
		_, _ = io.WriteString(w, `{"request":"r","started":true,"body":"hello"}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestSilenceDoesNotEndCall guards against idempotent calls that end because their endpoint was silent for a while, although
// no other one may run them. Where another one may, it does.
func TestSilenceDoesNotEndCall(t *testing.T) {
	const silence = time.Second
	cases := []struct {
		name         string
		pauses       []time.Duration
		maxEndpoints int
		retries      int32
		// retriesAfter is the number of retries that remain, and isFast whether the call takes less than the silence.
		retriesAfter int32
		isFast       bool
	}{
		{"no other endpoint", []time.Duration{silence}, 3, 10, 10, false},
		{"no attempt left", []time.Duration{silence, 0}, 1, 10, 10, false},
		{"no retry left", []time.Duration{silence, 0}, 3, 0, -1, false},
		{"another endpoint and a retry", []time.Duration{silence, 0}, 3, 10, 9, true},
		{"the other endpoint is silent as well", []time.Duration{silence, silence}, 3, 10, 9, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			clock := timer.New()
			client, err := engine.NewClient(clock)
			must.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			var serving sync.WaitGroup
			serving.Go(func() { _ = clock.Serve(ctx) })
			serving.Go(func() { _ = client.Serve(ctx) })
			t.Cleanup(func() {
				cancel()
				serving.Wait()
			})
			document := &chicoryhall.Document{}
			document.Retries.MaxEndpoints = c.maxEndpoints
			for i, pause := range c.pauses {
				document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
					ID: chicoryhall.EndpointID(rune('a' + i)), Address: startCallee(t, pause),
				})
			}
			r := &Request{service: &Service{}, document: document, class: chicoryhall.DocumentClass{Idempotent: true, TargetLatency: 50 * time.Millisecond}}
			budgets := &retriesLeft{}
			budgets.left.Store(c.retries)
			r.service.config = Config{
				Timer: clock, Engines: client, Endpoints: readyEndpoints{}, RetryBudgets: budgets,
				Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
			}
			startedAt := time.Now()
			r.record.ID, r.record.Deadline = "r", startedAt.Add(3*time.Second)
			callCtx, stop := context.WithDeadline(t.Context(), r.record.Deadline)
			defer stop()
			result := r.tryEndpoints(callCtx)
			must.Eq(t, chicoryhall.OutcomeAnswered, result.Outcome)
			must.Eq(t, "hello", result.Body)
			must.Eq(t, c.retriesAfter, budgets.left.Load())
			must.Eq(t, c.isFast, time.Since(startedAt) < silence)
		})
	}
}
