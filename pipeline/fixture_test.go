package pipeline_test

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
)

// fakeEndpoints is a chicoryhall.Endpoints backed by a map. Endpoints that are not in it are ready
// and idle.
type fakeEndpoints struct {
	views   map[chicoryhall.EndpointID]chicoryhall.EndpointView
	changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)
}

func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{views: make(map[chicoryhall.EndpointID]chicoryhall.EndpointView)}
}

func (f *fakeEndpoints) View(id chicoryhall.EndpointID) chicoryhall.EndpointView { return f.views[id] }

func (f *fakeEndpoints) Observe(chicoryhall.EndpointID, chicoryhall.Observation) {}

func (f *fakeEndpoints) Begin(id chicoryhall.EndpointID) { f.add(id, 1) }

func (f *fakeEndpoints) End(id chicoryhall.EndpointID) { f.add(id, -1) }

func (f *fakeEndpoints) add(id chicoryhall.EndpointID, n int) {
	view := f.views[id]
	view.InFlight += n
	f.views[id] = view
}

func (f *fakeEndpoints) Subscribe(changed func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {
	f.changed = changed
}

func (f *fakeEndpoints) setState(id chicoryhall.EndpointID, state chicoryhall.EndpointState) {
	view := f.views[id]
	view.State = state
	f.views[id] = view
	if f.changed != nil {
		f.changed(id, state)
	}
}

var kinds = []chicoryhall.DocumentAccelerator{
	{Kind: "fast", StepTime: time.Millisecond, LayerTokenTime: 10 * time.Microsecond, MaxBatch: 32},
	{Kind: "middle", StepTime: 2 * time.Millisecond, LayerTokenTime: 20 * time.Microsecond, MaxBatch: 16},
	{Kind: "slow", StepTime: 3 * time.Millisecond, LayerTokenTime: 40 * time.Microsecond, MaxBatch: 8},
}

// layersPerRange is the length of each layer range of documentOf.
const layersPerRange = 8

// documentOf returns a service with three layer ranges over the given number of endpoints and
// domains.
func documentOf(endpoints, domains int) *chicoryhall.Document {
	document := &chicoryhall.Document{
		Service:      "draft",
		Kind:         chicoryhall.ServicePipeline,
		Model:        chicoryhall.DocumentModel{Name: "m", Version: "1", Layers: 3 * layersPerRange, KVBytes: 4096},
		Accelerators: kinds,
	}
	for i := range endpoints {
		from := i % 3 * layersPerRange
		document.Endpoints = append(document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("e%03d", i)),
			Address:       fmt.Sprintf("127.0.0.1:%d", 20000+i),
			FailureDomain: domainName(i / 3 % domains),
			Accelerator:   kinds[i/(3*domains)%len(kinds)].Kind,
			From:          from,
			To:            from + layersPerRange,
		})
	}
	return document
}

func domainName(i int) chicoryhall.FailureDomain {
	return chicoryhall.FailureDomain(fmt.Sprintf("d%d", i))
}
