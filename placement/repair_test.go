package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/timer"
)

// holding gives engines of one kind the ranges that they hold.
func holding(kind chicoryhall.AcceleratorKind, ranges ...placement.LayerSpan) []placement.RangeEndpoint {
	var engines []placement.RangeEndpoint
	for i, held := range ranges {
		id := chicoryhall.EndpointID(string(kind) + string(rune('a'+i)))
		engines = append(engines, placement.RangeEndpoint{ID: id, Accelerator: kind, Held: held})
	}
	return engines
}

func TestRepairRanges(t *testing.T) {
	cases := []struct {
		name    string
		engines []placement.RangeEndpoint
		want    map[chicoryhall.EndpointID]placement.LayerSpan
	}{
		{
			"nothing is missing",
			holding("fast", placement.LayerSpan{From: 0, To: 40}, placement.LayerSpan{From: 40, To: 80}),
			map[chicoryhall.EndpointID]placement.LayerSpan{},
		},
		{
			"a spare engine moves",
			append(holding("fast", placement.LayerSpan{From: 0, To: 30}, placement.LayerSpan{From: 30, To: 60}),
				holding("middle", placement.LayerSpan{From: 0, To: 20})...),
			map[chicoryhall.EndpointID]placement.LayerSpan{"middlea": {From: 60, To: 80}},
		},
		{
			"a neighbour takes layers on",
			holding("fast", placement.LayerSpan{From: 0, To: 30}, placement.LayerSpan{From: 35, To: 55}, placement.LayerSpan{From: 55, To: 80}),
			map[chicoryhall.EndpointID]placement.LayerSpan{"fastb": {From: 30, To: 55}},
		},
		{
			"no memory is left",
			holding("slow", placement.LayerSpan{From: 0, To: 11}),
			map[chicoryhall.EndpointID]placement.LayerSpan{},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, placement.RepairRanges(mixedDocument(), c.engines))
		})
	}
}

// TestRepairNeverTakesTheLastHolderAway draws domains that lost an engine: no layer may be held by
// fewer engines than one that it had, and the memory must suffice.
func TestRepairNeverTakesTheLastHolderAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := mixedDocument()
		engines := fleet(rapid.IntRange(1, 2).Draw(t, "fast"), rapid.IntRange(2, 6).Draw(t, "middle"), rapid.IntRange(0, 8).Draw(t, "slow"))
		planned := placement.PlanRanges(document, engines)
		for i := range engines {
			engines[i].Held = planned[engines[i].ID]
		}
		for range rapid.IntRange(1, 3).Draw(t, "lost") {
			lost := rapid.IntRange(0, len(engines)-1).Draw(t, "which")
			engines = append(engines[:lost:lost], engines[lost+1:]...)
		}
		before := holdersPerLayer(engines, nil)
		moved := placement.RepairRanges(document, engines)
		for i := range engines {
			if layers, ok := moved[engines[i].ID]; ok {
				accelerator, _ := document.Accelerator(engines[i].Accelerator)
				must.LessEq(t, accelerator.MemoryBytes, int64(layers.Len())*document.Model.LayerBytes)
				engines[i].Held = layers
			}
		}
		for layer, cover := range holdersPerLayer(engines, nil) {
			if before[layer] > 0 {
				must.Positive(t, cover)
			}
		}
	})
}

func TestRangedRepairsAGapThatStays(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	document := mixedDocument()
	engines := append(holding("fast", placement.LayerSpan{From: 0, To: 30}, placement.LayerSpan{From: 30, To: 60}),
		holding("middle", placement.LayerSpan{From: 60, To: 80}, placement.LayerSpan{From: 0, To: 20})...)
	document.Endpoints = endpointsOf(engines)
	endpoints := &rangedEndpoints{states: map[chicoryhall.EndpointID]chicoryhall.EndpointState{}}
	ranged := placement.NewPlannedDocuments(&staticDocuments{document: document}, endpoints, clock)
	rangeOf := func(id chicoryhall.EndpointID) placement.LayerSpan {
		for _, endpoint := range ranged.All()[0].Document.Endpoints {
			if endpoint.ID == id {
				return placement.LayerSpan{From: endpoint.From, To: endpoint.To}
			}
		}
		return placement.LayerSpan{}
	}
	must.Eq(t, placement.LayerSpan{From: 0, To: 20}, rangeOf("middleb"))
	endpoints.states["middlea"] = chicoryhall.EndpointDead
	must.Eq(t, placement.LayerSpan{From: 0, To: 20}, rangeOf("middleb"))
	clock.Advance(2 * time.Second)
	must.Eq(t, placement.LayerSpan{From: 60, To: 80}, rangeOf("middleb"))
	// The list still shows the old layers while the engine loads: no other engine moves for them.
	must.Eq(t, placement.LayerSpan{From: 60, To: 80}, rangeOf("middleb"))
	must.Eq(t, placement.LayerSpan{From: 0, To: 30}, rangeOf("fasta"))
}
