package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/timer"
)

// roomEndpoints are two engines that hold half of the layers each; loads are what is at them.
type roomEndpoints struct {
	fakeEndpoints
	loads map[chicoryhall.EndpointID]int
	full  map[chicoryhall.EndpointID]bool
}

func (f *roomEndpoints) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: f.states[id], Load: chicoryhall.LoadReport{Running: f.loads[id]}, Full: f.full[id]}
}

// roomDocument has memory for ten requests at each engine beside its layers.
func roomDocument() *chicoryhall.Document {
	return &chicoryhall.Document{
		Service: "draft", Kind: chicoryhall.ServicePipeline,
		Model:        chicoryhall.DocumentModel{Layers: 8, LayerBytes: 10, KVBytes: 1, MeanPromptTokens: 1, MeanAnswerTokens: 1},
		Accelerators: []chicoryhall.DocumentAccelerator{{Kind: "a", MemoryBytes: 120, MaxBatch: 100}},
		Classes:      []chicoryhall.DocumentClass{{Name: "stream", Timeout: 20 * time.Second}},
		Endpoints: []chicoryhall.DocumentEndpoint{
			{ID: "first", Accelerator: "a", From: 0, To: 4}, {ID: "second", Accelerator: "a", From: 4, To: 8},
		},
	}
}

// roomWorld counts what admission tells the requests that ask for places.
type roomWorld struct {
	*admission.Admission
	clock     *timer.Manual
	endpoints *roomEndpoints
	permits   []chicoryhall.Permit
	refused   []time.Duration
}

func newRoomWorld(others int) *roomWorld {
	w := &roomWorld{clock: timer.NewManual(begin), endpoints: &roomEndpoints{
		fakeEndpoints: *newFakeEndpoints(), loads: make(map[chicoryhall.EndpointID]int), full: make(map[chicoryhall.EndpointID]bool),
	}}
	w.Admission = admission.New(w.clock, &fakeDocuments{document: roomDocument()}, w.endpoints, &fakeMembers{others: others})
	return w
}

// ask lets requests ask for places that they await for at most 500 ms.
func (w *roomWorld) ask(count int) {
	for range count {
		w.Acquire(chicoryhall.AdmissionQuery{
			Service: "draft", Class: "stream", Deadline: w.clock.Now().Add(20 * time.Second), ExpectedDuration: 2 * time.Second,
			MaxWait: 500 * time.Millisecond,
		}, func(permit chicoryhall.Permit) {
			w.permits = append(w.permits, permit)
		}, func(after time.Duration, _ string) {
			w.refused = append(w.refused, after)
		})
	}
}

func TestPlacesFollowTheRoomInMemory(t *testing.T) {
	cases := []struct {
		name   string
		others int
		first  int
		second int
		state  chicoryhall.EndpointState
		full   bool
		starts int
	}{
		{"nothing runs, one daemon", 0, 0, 0, chicoryhall.EndpointReady, false, 10},
		{"nothing runs, four daemons that do not ask", 3, 0, 0, chicoryhall.EndpointReady, false, 10},
		{"the fuller engine decides", 3, 2, 8, chicoryhall.EndpointReady, false, 2},
		{"one engine is full by its own word", 3, 0, 0, chicoryhall.EndpointReady, true, 0},
		{"one engine is gone", 3, 0, 0, chicoryhall.EndpointDead, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newRoomWorld(c.others)
			w.endpoints.loads["first"], w.endpoints.loads["second"] = c.first, c.second
			w.endpoints.states["first"] = c.state
			w.endpoints.full["second"] = c.full
			for range 40 {
				w.ask(1)
				// Each that starts is seen at both engines.
				w.endpoints.loads["first"], w.endpoints.loads["second"] = c.first+len(w.permits), c.second+len(w.permits)
			}
			must.Len(t, c.starts, w.permits)
		})
	}
}

// TestPatienceEndsTheWait plays a burst at full engines: who cannot start within its patience is
// refused at once or when the time is over, long before its deadline, and none twice.
func TestPatienceEndsTheWait(t *testing.T) {
	w := newRoomWorld(0)
	w.ask(10)
	w.endpoints.loads["first"], w.endpoints.loads["second"] = 10, 10
	started := len(w.permits)
	must.Eq(t, 10, started)
	w.ask(30)
	must.Positive(t, len(w.refused))
	waiting := 30 - len(w.refused)
	must.Positive(t, waiting)
	for range 30 {
		w.clock.Advance(20 * time.Millisecond)
	}
	must.Len(t, 30, w.refused)
	must.Len(t, started, w.permits)
	for _, after := range w.refused {
		must.Positive(t, after)
	}
	w.endpoints.loads["first"], w.endpoints.loads["second"] = 9, 9
	w.permits[0].Release()
	w.ask(1)
	must.Len(t, started+1, w.permits)
}
