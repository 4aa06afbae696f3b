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

// fakeEngines holds at once what it is ordered and refuses old fencing numbers.
type fakeEngines struct {
	mu     sync.Mutex
	loads  map[string]chicoryhall.LoadReport
	fences []int64
}

func (f *fakeEngines) Load(_ context.Context, address string) (chicoryhall.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads[address], nil
}

func (f *fakeEngines) Order(_ context.Context, address string, order engine.Order) (engine.OrderResult, error) {
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

func (f *fakeEngines) ordered() []int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int64{}, f.fences...)
}

// loadedDocument is a service of one engine, which refuses old fencing numbers if fencing is set.
func loadedDocument(fencing bool) *chicoryhall.Document {
	return &chicoryhall.Document{
		Service: "s", Kind: chicoryhall.ServicePipeline,
		Model:     chicoryhall.DocumentModel{Name: "m", Version: "v1", Layers: 4},
		Endpoints: []chicoryhall.DocumentEndpoint{{ID: "e", Address: "e:1", FailureDomain: "f", To: 4, Fencing: fencing}},
	}
}

func startHolder(t *testing.T, self chicoryhall.DaemonID, store *tabletest.Store, engines *fakeEngines, clock chicoryhall.Timer, d *chicoryhall.Document) {
	holder := placement.NewController(placement.ControllerConfig{
		Self: self, FailureDomain: "f", Table: store, Documents: &staticDocuments{document: d},
		Client: engines, Timer: clock, Options: placement.DefaultOptions(),
		Log: event.NewLogger(io.Discard, "test", log.InfoLevel),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	serving.Go(func() { _ = holder.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
}

// stepTimer is a manual timer for several goroutines.
type stepTimer struct {
	mu    sync.Mutex
	inner *timer.Manual
}

func (s *stepTimer) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Now()
}

func (s *stepTimer) Every(period time.Duration, tick func(time.Time)) chicoryhall.Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Every(period, tick)
}

func (s *stepTimer) After(delay time.Duration, fire func(time.Time)) chicoryhall.Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.After(delay, fire)
}

// advance lets time pass in steps, with a while for the goroutines in each.
func (s *stepTimer) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		s.mu.Lock()
		s.inner.Advance(time.Second)
		s.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func TestHolderOrdersWhatTheDocumentSays(t *testing.T) {
	cases := []struct {
		name    string
		fencing bool
		wait    time.Duration
	}{
		{"an engine that refuses old fencing numbers, after the number it has seen", true, 40 * time.Second},
		{"an engine that ignores them, after the last holder's longest pause", false, 60 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			engines := &fakeEngines{loads: map[string]chicoryhall.LoadReport{"e:1": {Fence: 7}}}
			clock := &stepTimer{inner: timer.NewManual(time.Unix(0, 0))}
			startHolder(t, "a", store, engines, clock, loadedDocument(c.fencing))
			startHolder(t, "b", store, engines, clock, loadedDocument(c.fencing))
			time.Sleep(20 * time.Millisecond)
			if !c.fencing {
				clock.advance(40 * time.Second)
				must.SliceEmpty(t, engines.ordered())
			}
			clock.advance(c.wait)
			must.SliceNotEmpty(t, engines.ordered())
			for _, fence := range engines.ordered() {
				must.Greater(t, 7, fence)
			}
			load, err := engines.Load(t.Context(), "e:1")
			must.NoError(t, err)
			must.Eq(t, []chicoryhall.LayerRange{{Model: "m", Version: "v1", To: 4}}, load.LoadedLayers)
		})
	}
}

func TestNoOrdersWhileTheTableIsDown(t *testing.T) {
	store := &tabletest.Store{}
	store.SetDown(true)
	engines := &fakeEngines{loads: map[string]chicoryhall.LoadReport{}}
	clock := &stepTimer{inner: timer.NewManual(time.Unix(0, 0))}
	startHolder(t, "a", store, engines, clock, loadedDocument(true))
	time.Sleep(20 * time.Millisecond)
	clock.advance(60 * time.Second)
	must.SliceEmpty(t, engines.ordered())
}
