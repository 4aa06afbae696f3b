package explore

import (
	"fmt"
	"strings"
)

// Step is one way on from a state.
type Step[S any] struct {
	// Name tells what happens, for the trace.
	Name string
	Next S
}

// Model is what is explored.
type Model[S any] struct {
	Initial S
	// Key is equal for two states that behave the same.
	Key func(S) string
	// Steps returns every way on; each Next must share nothing with the state.
	Steps func(S) []Step[S]
	// Check returns an error for a state that breaks the promise.
	Check func(S) error
	// MaxStates bounds the exploration, which fails when there are more.
	MaxStates int
}

// Broken is a state that broke the promise, with the steps that led to it.
type Broken struct {
	Trace []string
	Cause error
}

// Error shows the shortest trace.
func (b *Broken) Error() string {
	return fmt.Sprintf("%v after:\n  %s", b.Cause, strings.Join(b.Trace, "\n  "))
}

// Unwrap returns the cause.
func (b *Broken) Unwrap() error { return b.Cause }

// node is one visited state and how it was reached.
type node[S any] struct {
	state  S
	parent int
	name   string
}

// Run visits all states, shortest traces first, and returns how many there are.
func Run[S any](m Model[S]) (int, error) {
	nodes := []node[S]{{state: m.Initial, parent: -1}}
	seen := map[string]bool{m.Key(m.Initial): true}
	for at := 0; at < len(nodes); at++ {
		if err := m.Check(nodes[at].state); err != nil {
			return len(nodes), &Broken{Trace: trace(nodes, at), Cause: err}
		}
		for _, step := range m.Steps(nodes[at].state) {
			key := m.Key(step.Next)
			if seen[key] {
				continue
			}
			if len(nodes) == m.MaxStates {
				return len(nodes), fmt.Errorf("the model has more than %d states", m.MaxStates)
			}
			seen[key] = true
			nodes = append(nodes, node[S]{state: step.Next, parent: at, name: step.Name})
		}
	}
	return len(nodes), nil
}

func trace[S any](nodes []node[S], at int) []string {
	var names []string
	for ; at > 0; at = nodes[at].parent {
		names = append([]string{nodes[at].name}, names...)
	}
	return names
}
