package retry_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/retry"
)

// TestBudgetIsAShareOfSuccesses draws successes and retries. Mutations that it catches: earning a
// whole retry for each success; spending below one.
func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	const startReserve = 10
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		budget := retry.NewBudget()
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			if rapid.Bool().Draw(t, "failed") {
				if budget.Spend() {
					retries++
				}
				continue
			}
			budget.Succeeded(percent)
			successes++
		}
		must.LessEq(t, startReserve+float64(successes*percent)/100+1e-9, float64(retries))
	})
}

// TestEndpointsPerPlace draws failing stages over ranges that may not align. Mutations that it
// catches: counting from zero for each cut; not adding the failed engine to Excluded.
func TestEndpointsPerPlace(t *testing.T) {
	const layers = 8
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		trail := retry.NewTrail(limit)
		budget := retry.NewBudget()
		var met [layers]int
		for i := range 20 {
			from := rapid.IntRange(0, layers-1).Draw(t, "from")
			hop := chicoryhall.Hop{
				Engine: chicoryhall.EngineID(fmt.Sprintf("e%d", i)),
				From:   from, To: rapid.IntRange(from+1, layers).Draw(t, "to"),
			}
			must.False(t, slices.Contains(trail.Excluded(), hop.Engine))
			err := trail.Next("draft", hop, budget)
			must.True(t, slices.Contains(trail.Excluded(), hop.Engine))
			most := 0
			for layer := hop.From; layer < hop.To; layer++ {
				met[layer]++
				most = max(most, met[layer])
			}
			var exhausted *retry.ExhaustedError
			must.Eq(t, most >= limit, errors.As(err, &exhausted), must.Sprintf("%v after %v", err, met))
			if err != nil {
				return
			}
		}
	})
}

func TestRepeatedFailureOfOneEndpointCountsOnce(t *testing.T) {
	trail := retry.NewTrail(2)
	hop := chicoryhall.Hop{Engine: "p1"}
	must.NoError(t, trail.Next("booking", hop, retry.NewBudget()))
	must.NoError(t, trail.Next("booking", hop, retry.NewBudget()))
	must.Eq(t, []chicoryhall.EngineID{"p1"}, trail.Excluded())
	must.EqError(t, trail.Next("booking", chicoryhall.Hop{Engine: "p2"}, retry.NewBudget()),
		"retry request: layers [0,0) have met 2 endpoints, as many as the document allows")
}

func TestSpentBudgetIsATypedError(t *testing.T) {
	budget := retry.NewBudget()
	for budget.Spend() {
		continue
	}
	var spent *retry.BudgetError
	must.True(t, errors.As(retry.NewTrail(3).Next("draft", chicoryhall.Hop{Engine: "e", To: 8}, budget), &spent))
}

func BenchmarkNext(b *testing.B) {
	budget := retry.NewBudget()
	b.ReportAllocs()
	for b.Loop() {
		budget.Succeeded(100)
		trail := retry.NewTrail(3)
		_ = trail.Next("draft", chicoryhall.Hop{Engine: "e1", To: 8}, budget)
		_ = trail.Next("draft", chicoryhall.Hop{Engine: "e2", To: 8}, budget)
	}
}
