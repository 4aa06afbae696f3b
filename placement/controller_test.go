package placement_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

// staticDocuments is a chicoryhall.Documents with one document.
type staticDocuments struct{ document *chicoryhall.Document }

func (s *staticDocuments) Current(chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	return chicoryhall.DocumentVersion{Document: s.document}, true
}

func (s *staticDocuments) All() []chicoryhall.DocumentVersion {
	return []chicoryhall.DocumentVersion{{Document: s.document, Version: 1}}
}

func (s *staticDocuments) Subscribe(func(chicoryhall.DocumentVersion)) {}

// fakeEndpoints is an EndpointClient whose endpoints hold at once what they are ordered and refuse
// old fencing numbers.
type fakeEndpoints struct {
	mu     sync.Mutex
	loads  map[string]chicoryhall.LoadReport
	fences []int64
}

func (f *fakeEndpoints) Load(_ context.Context, address string) (chicoryhall.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[address], nil
}

func (f *fakeEndpoints) Order(_ context.Context, address string, order engine.Order) (engine.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	load := f.loads[address]
	if order.Fence < load.Fence {
		return engine.OrderResult{Refusal: engine.RefusalOutdatedFence, Fence: load.Fence}, nil
	}
	load.LoadedLayers, load.Fence = order.Layers, order.Fence
	f.loads[address] = load
	f.fences = append(f.fences, order.Fence)
	return engine.OrderResult{Fence: order.Fence}, nil
}

func (f *fakeEndpoints) ordered() []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int64{}, f.fences...)
}

// singleEndpointDocument returns a service of one endpoint. With fencing set it says that the
// endpoint refuses old fencing numbers; fakeEndpoints does so in any case.
func singleEndpointDocument(fencing bool) *chicoryhall.Document {
	return &chicoryhall.Document{
		Service: "s", Kind: chicoryhall.ServicePipeline,
		Model:     chicoryhall.DocumentModel{Name: "m", Version: "v1", Layers: 4},
		Endpoints: []chicoryhall.DocumentEndpoint{{ID: "e", Address: "e:1", FailureDomain: "f", To: 4, Fencing: fencing}},
	}
}

func startController(t *testing.T, self chicoryhall.DaemonID, store *tabletest.Store, endpoints *fakeEndpoints, clock chicoryhall.Timer, d *chicoryhall.Document) {
	controller := placement.NewController(placement.ControllerConfig{
		Self: self, FailureDomain: "f", Table: store, Documents: &staticDocuments{document: d},
		Client: endpoints, Timer: clock, Options: placement.DefaultOptions(),
		Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = controller.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
}

// lockedTimer is a manual timer that is safe for concurrent use.
type lockedTimer struct {
	mu    sync.Mutex
	inner *timer.Manual
}

func (t *lockedTimer) Now() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inner.Now()
}

func (t *lockedTimer) Every(period time.Duration, tick func(time.Time)) chicoryhall.Subscription {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inner.Every(period, tick)
}

func (t *lockedTimer) After(delay time.Duration, fire func(time.Time)) chicoryhall.Subscription {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inner.After(delay, fire)
}

// advance moves the time forward in steps of one second, and waits 2 ms after each for the
// goroutines to run.
func (t *lockedTimer) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		t.mu.Lock()
		t.inner.Advance(time.Second)
		t.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// TestControllerOrdersDocumentLayers starts two Controllers, one of which must order the layers of
// the document. With DefaultOptions, an endpoint that ignores fencing numbers must get no order
// until LeaseDuration and MaxOrderDelay, 45 s in all, have passed since the lease was acquired.
func TestControllerOrdersDocumentLayers(t *testing.T) {
	cases := []struct {
		name    string
		fencing bool
		wait    time.Duration
	}{
		{"endpoint refuses old fencing numbers: order with a higher one than it has seen", true, 40 * time.Second},
		{"endpoint ignores them: order after LeaseDuration and MaxOrderDelay", false, 60 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			endpoints := &fakeEndpoints{loads: map[string]chicoryhall.LoadReport{"e:1": {Fence: 7}}}
			clock := &lockedTimer{inner: timer.NewManual(time.Unix(0, 0))}
			startController(t, "a", store, endpoints, clock, singleEndpointDocument(c.fencing))
			startController(t, "b", store, endpoints, clock, singleEndpointDocument(c.fencing))
			time.Sleep(20 * time.Millisecond) // Lets both subscribe to the timer.
			if !c.fencing {
				clock.advance(40 * time.Second)
				must.SliceEmpty(t, endpoints.ordered())
			}
			clock.advance(c.wait)
			must.SliceNotEmpty(t, endpoints.ordered())
			for _, fence := range endpoints.ordered() {
				must.Greater(t, 7, fence)
			}
			load, err := endpoints.Load(t.Context(), "e:1")
			must.NoError(t, err)
			must.Eq(t, []chicoryhall.LayerRange{{Model: "m", Version: "v1", To: 4}}, load.LoadedLayers)
		})
	}
}

func TestNoOrdersWhileTableIsDown(t *testing.T) {
	store := &tabletest.Store{}
	store.SetDown(true)
	endpoints := &fakeEndpoints{loads: map[string]chicoryhall.LoadReport{}}
	clock := &lockedTimer{inner: timer.NewManual(time.Unix(0, 0))}
	startController(t, "a", store, endpoints, clock, singleEndpointDocument(true))
	time.Sleep(20 * time.Millisecond) // Lets it subscribe to the timer.
	clock.advance(60 * time.Second)
	must.SliceEmpty(t, endpoints.ordered())
}
