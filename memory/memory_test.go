package memory_test

import (
	"runtime/debug"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/memory"
)

func TestBudgetIsNotExceeded(t *testing.T) {
	budget := memory.NewBudget(10)
	must.True(t, budget.Take(6))
	must.False(t, budget.Take(5))
	must.Eq(t, 6, budget.Held())
	must.True(t, budget.Take(4))
	must.False(t, budget.Take(1))
	budget.Release(4)
	must.True(t, budget.Take(3))
	budget.Release(9)
	must.Eq(t, 0, budget.Held())
	must.False(t, (&memory.Budget{}).Take(1))
}

func TestBudgetIsSharedByGoroutines(t *testing.T) {
	const takers, rounds = 8, 1000
	budget := memory.NewBudget(takers / 2)
	var taking sync.WaitGroup
	for range takers {
		taking.Go(func() {
			for range rounds {
				if budget.Take(1) {
					budget.Release(1)
				}
			}
		})
	}
	taking.Wait()
	must.Eq(t, 0, budget.Held())
}

func TestProcessIsLimitedBelowTheMachine(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	machine, err := memory.OfMachine()
	must.NoError(t, err)
	must.Greater(t, 64<<20, machine)
	memory.LimitProcess(machine)
	must.Less(t, machine, debug.SetMemoryLimit(-1))
}
