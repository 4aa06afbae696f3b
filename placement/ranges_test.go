package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/timer"
)

const mixedLayers = 80

// mixedDocument describes a model of 80 layers and 140 GB on three kinds of accelerators.
func mixedDocument() *chicoryhall.Document {
	kind := func(name string, gigabytes, pace float64) chicoryhall.DocumentAccelerator {
		return chicoryhall.DocumentAccelerator{
			Kind: chicoryhall.AcceleratorKind(name), MaxBatch: 192, MemoryBytes: int64(gigabytes * 1e9),
			LayerStepTime: time.Duration(pace * 1.02 / mixedLayers * float64(time.Millisecond)),
		}
	}
	return &chicoryhall.Document{
		Service: "draft", Kind: chicoryhall.ServicePipeline,
		Model: chicoryhall.DocumentModel{
			Name: "m", Version: "1", Layers: mixedLayers, KVBytes: 11475, LayerBytes: 1750e6, MeanPromptTokens: 774, MeanAnswerTokens: 203,
		},
		Accelerators: []chicoryhall.DocumentAccelerator{kind("fast", 72, 2.4), kind("middle", 43.2, 5.6), kind("slow", 21.6, 16)},
	}
}

func fleet(fast, middle, slow int) []placement.RangeEndpoint {
	var engines []placement.RangeEndpoint
	add := func(kind chicoryhall.AcceleratorKind, count int) {
		for i := range count {
			engines = append(engines, placement.RangeEndpoint{ID: chicoryhall.EndpointID(fmt.Sprintf("%s-%02d", kind, i)), Accelerator: kind})
		}
	}
	add("slow", slow)
	add("middle", middle)
	add("fast", fast)
	return engines
}

// holdersPerLayer counts the engines that hold each layer.
func holdersPerLayer(engines []placement.RangeEndpoint, planned map[chicoryhall.EndpointID]placement.LayerSpan) []int {
	covers := make([]int, mixedLayers)
	for _, engine := range engines {
		held := engine.Held
		if held.Len() == 0 {
			held = planned[engine.ID]
		}
		for layer := held.From; layer < held.To; layer++ {
			covers[layer]++
		}
	}
	return covers
}

func minOf(covers []int) int {
	least := covers[0]
	for _, cover := range covers {
		least = min(least, cover)
	}
	return least
}

func TestPlanRangesOfWholeDomains(t *testing.T) {
	cases := []struct {
		name               string
		fast, middle, slow int
		copies             int
		places             float64
	}{
		{"one fast, six middle, five slow", 1, 6, 5, 2, 32},
		{"two fast, two middle, five slow", 2, 2, 5, 1, 32},
		{"one fast, three middle, eight slow", 1, 3, 8, 2, 32},
		{"memory for the layers alone", 0, 0, 7, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document, engines := mixedDocument(), fleet(c.fast, c.middle, c.slow)
			planned := placement.PlanRanges(document, engines)
			must.GreaterEq(t, c.copies, minOf(holdersPerLayer(engines, planned)))
			for _, engine := range engines {
				places, bounded := document.MemorySlots(engine.Accelerator, planned[engine.ID].Len())
				must.True(t, bounded)
				must.GreaterEq(t, c.places, places)
			}
		})
	}
}

func TestPlanRangesTooLittleMemory(t *testing.T) {
	engines := fleet(1, 0, 0)
	planned := placement.PlanRanges(mixedDocument(), engines)
	must.Eq(t, placement.LayerSpan{From: 0, To: 41}, planned["fast-00"])
}

// TestPlanRangesUnknownKind leaves an engine alone whose accelerator is not described.
func TestPlanRangesUnknownKind(t *testing.T) {
	planned := placement.PlanRanges(mixedDocument(), []placement.RangeEndpoint{{ID: "e", Accelerator: "other"}})
	must.MapEmpty(t, planned)
}

// TestReplacementTakesWhatWasLost draws an engine that starts again empty.
func TestReplacementTakesWhatWasLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := mixedDocument()
		engines := fleet(rapid.IntRange(1, 2).Draw(t, "fast"), rapid.IntRange(2, 6).Draw(t, "middle"), rapid.IntRange(4, 8).Draw(t, "slow"))
		planned := placement.PlanRanges(document, engines)
		before := minOf(holdersPerLayer(engines, planned))
		for i := range engines {
			engines[i].Held = planned[engines[i].ID]
		}
		lost := rapid.IntRange(0, len(engines)-1).Draw(t, "lost")
		engines[lost].Held = placement.LayerSpan{}
		again := placement.PlanRanges(document, engines)
		must.MapLen(t, 1, again)
		must.GreaterEq(t, before, minOf(holdersPerLayer(engines, again)))
	})
}

// TestNoRangeExceedsTheMemory draws domains; each engine must hold its layers, and a domain with
// the memory for a copy must have one.
func TestNoRangeExceedsTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := mixedDocument()
		engines := fleet(rapid.IntRange(0, 3).Draw(t, "fast"), rapid.IntRange(0, 8).Draw(t, "middle"), rapid.IntRange(0, 16).Draw(t, "slow"))
		planned := placement.PlanRanges(document, engines)
		held := 0
		for _, engine := range engines {
			accelerator, _ := document.Accelerator(engine.Accelerator)
			layers := planned[engine.ID].Len()
			must.LessEq(t, accelerator.MemoryBytes, int64(layers)*document.Model.LayerBytes)
			held += int(accelerator.MemoryBytes / document.Model.LayerBytes)
		}
		if held >= mixedLayers {
			must.Positive(t, minOf(holdersPerLayer(engines, planned)))
		}
	})
}

// rangedEndpoints are views of endpoints that the test sets.
type rangedEndpoints struct {
	states map[chicoryhall.EndpointID]chicoryhall.EndpointState
}

func (e *rangedEndpoints) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: e.states[id]}
}

func (e *rangedEndpoints) Observe(chicoryhall.EndpointID, chicoryhall.Observation) {}

func (e *rangedEndpoints) Begin(chicoryhall.EndpointID) {}

func (e *rangedEndpoints) End(chicoryhall.EndpointID) {}

func (e *rangedEndpoints) Subscribe(func(chicoryhall.EndpointID, chicoryhall.EndpointState)) {}

// endpointsOf lists engines as a document does.
func endpointsOf(engines []placement.RangeEndpoint) []chicoryhall.DocumentEndpoint {
	var endpoints []chicoryhall.DocumentEndpoint
	for _, engine := range engines {
		endpoints = append(endpoints, chicoryhall.DocumentEndpoint{
			ID: engine.ID, Accelerator: engine.Accelerator, FailureDomain: "f", From: engine.Held.From, To: engine.Held.To,
		})
	}
	return endpoints
}

// emptyOf counts the endpoints without layers.
func emptyOf(document *chicoryhall.Document) int {
	empty := 0
	for _, endpoint := range document.Endpoints {
		if endpoint.To == 0 {
			empty++
		}
	}
	return empty
}

func TestRangedWaitsUntilADomainHasStoppedGrowing(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	document := mixedDocument()
	source := &staticDocuments{document: document}
	ranged := placement.NewPlannedDocuments(source, &rangedEndpoints{}, clock)
	engines := fleet(1, 3, 8)
	for count := 1; count <= len(engines); count++ {
		document.Endpoints = endpointsOf(engines[:count])
		must.Eq(t, count, emptyOf(ranged.All()[0].Document))
		clock.Advance(500 * time.Millisecond)
	}
	clock.Advance(time.Second)
	inForce, known := ranged.Current("draft")
	must.True(t, known)
	must.Eq(t, 0, emptyOf(inForce.Document))
	must.Eq(t, len(engines), emptyOf(document))
}

func TestRangedReplacesALeavingEngineAtOnce(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	document := mixedDocument()
	engines := fleet(0, 0, 7)
	planned := placement.PlanRanges(document, engines)
	for i := range engines {
		engines[i].Held = planned[engines[i].ID]
	}
	left := engines[2]
	document.Endpoints = append(endpointsOf(engines), chicoryhall.DocumentEndpoint{ID: "new", Accelerator: "slow", FailureDomain: "f"})
	endpoints := &rangedEndpoints{states: map[chicoryhall.EndpointID]chicoryhall.EndpointState{left.ID: chicoryhall.EndpointLeaving}}
	ranged := placement.NewPlannedDocuments(&staticDocuments{document: document}, endpoints, clock)
	ranged.All()
	clock.Advance(2 * time.Second)
	placed := ranged.All()[0].Document.Endpoints[len(engines)]
	must.Eq(t, left.Held, placement.LayerSpan{From: placed.From, To: placed.To})
}
