package explore

import (
	"fmt"
	"strings"
)

// Step is a transition from one state to the next.
type Step[S any] struct {
	// Name describes the step in a trace.
	Name string
	Next S
}

// Model describes the states to explore.
type Model[S any] struct {
	Initial S
	// Key identifies a state. States with the same key are treated as one, so they must have the same future behaviour.
	Key func(S) string
	// Steps returns all transitions from a state. Each Next must be a copy that shares no memory with the state, as the
	// state is still needed.
	Steps func(S) []Step[S]
	// Check returns an error for a state that violates the invariant.
	Check func(S) error
	// MaxStates is the maximum number of states, or 0 for no maximum. Run fails if there are more.
	MaxStates int
}

// Violation is the error for a state that violates the invariant.
type Violation struct {
	// Trace lists the names of the steps of a shortest path from the initial state.
	Trace []string
	Cause error
}

// Error implements error. Its text includes the trace.
func (v *Violation) Error() string {
	return fmt.Sprintf("%v after:\n  %s", v.Cause, strings.Join(v.Trace, "\n  "))
}

// Unwrap makes errors.Is and errors.As examine the error returned by Check.
func (v *Violation) Unwrap() error { return v.Cause }

// node is a state that was found, with the step by which it was first reached.
type node[S any] struct {
	state  S
	parent int // index of the node from which it was first reached, -1 for the initial state
	step   string
}

// Run checks all reachable states in breadth-first order and returns their number. It stops at the first violation, which
// therefore has a shortest trace. With an error, it returns the number of states found so far.
func Run[S any](m Model[S]) (int, error) {
	nodes := []node[S]{{state: m.Initial, parent: -1}}
	seen := map[string]bool{m.Key(m.Initial): true}
	for i := 0; i < len(nodes); i++ {
		if err := m.Check(nodes[i].state); err != nil {
			return len(nodes), &Violation{Trace: trace(nodes, i), Cause: err}
		}
		for _, step := range m.Steps(nodes[i].state) {
			key := m.Key(step.Next)
			if seen[key] {
				continue
			}
			if len(nodes) == m.MaxStates {
				return len(nodes), fmt.Errorf("the model has more than %d states; increase MaxStates", m.MaxStates)
			}
			seen[key] = true
			nodes = append(nodes, node[S]{state: step.Next, parent: i, step: step.Name})
		}
	}
	return len(nodes), nil
}

// trace returns the names of the steps that lead to the i-th node.
func trace[S any](nodes []node[S], i int) []string {
	var steps []string
	for ; i > 0; i = nodes[i].parent {
		steps = append([]string{nodes[i].step}, steps...)
	}
	return steps
}
