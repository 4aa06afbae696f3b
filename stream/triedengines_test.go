package stream

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
)

// TestEveryLayerIsCounted draws stages that divide the layers differently. It fails if engines
// are counted only at the layer where a stage begins.
func TestEveryLayerIsCounted(t *testing.T) {
	const layers = 8
	rapid.Check(t, func(t *rapid.T) {
		var tried triedEngines
		var engines [layers]map[chicoryhall.EndpointID]bool
		for i := range engines {
			engines[i] = make(map[chicoryhall.EndpointID]bool)
		}
		for range rapid.IntRange(1, 12).Draw(t, "stages") {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			hop := chicoryhall.Hop{
				Engine: chicoryhall.EndpointID(fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "engine"))),
				From:   from, To: rapid.IntRange(from+1, layers).Draw(t, "to"),
			}
			want := 0
			for layer := hop.From; layer < hop.To; layer++ {
				engines[layer][hop.Engine] = true
				want = max(want, len(engines[layer]))
			}
			must.Eq(t, want, tried.maxCount([]chicoryhall.Hop{hop}))
			tried.add([]chicoryhall.Hop{hop})
		}
	})
}
