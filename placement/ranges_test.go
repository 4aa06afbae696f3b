package placement_test

import (
	"fmt"
	"testing"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/placement"
)

// mixedDocument describes a model of 80 layers on three kinds of accelerators.
func mixedDocument() *chicoryhall.Document {
	const layers, perLayerKV = 80, 11475
	kind := func(name string, gigabytes, pace float64) chicoryhall.DocumentAccelerator {
		return chicoryhall.DocumentAccelerator{
			Kind: chicoryhall.AcceleratorKind(name), Batch: 192, MemoryBytes: int64(gigabytes * 1e9),
			LayerStep: time.Duration(pace * 1.02 / layers * float64(time.Millisecond)),
		}
	}
	return &chicoryhall.Document{
		Service: "draft", Kind: chicoryhall.ServicePipeline,
		Model: chicoryhall.DocumentModel{
			Name: "m", Version: "1", Layers: layers, KVBytes: perLayerKV, LayerBytes: 1750e6, UsualPrompt: 774, UsualAnswer: 203,
		},
		Accelerators: []chicoryhall.DocumentAccelerator{kind("fast", 72, 2.4), kind("middle", 43.2, 5.6), kind("slow", 21.6, 16)},
	}
}

func fleet(counts map[chicoryhall.AcceleratorKind]int) []placement.RangeEngine {
	var engines []placement.RangeEngine
	for _, kind := range []chicoryhall.AcceleratorKind{"fast", "middle", "slow"} {
		for i := range counts[kind] {
			engines = append(engines, placement.RangeEngine{ID: chicoryhall.EngineID(fmt.Sprintf("%s-%d", kind, i)), Accelerator: kind})
		}
	}
	return engines
}

func TestDump(t *testing.T) {
	d := mixedDocument()
	for _, f := range []map[chicoryhall.AcceleratorKind]int{
		{"fast": 1, "middle": 6, "slow": 5}, {"fast": 2, "middle": 2, "slow": 5}, {"fast": 1, "middle": 3, "slow": 8},
	} {
		engines := fleet(f)
		planned := placement.PlanRanges(d, engines)
		for _, e := range engines {
			places, _ := d.MemoryPlaces(e.Accelerator, planned[e.ID].Len())
			fmt.Println(e.ID, planned[e.ID], planned[e.ID].Len(), int(places))
		}
		fmt.Println()
	}
}
