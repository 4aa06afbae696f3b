package holder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// Holds tells whether the daemon is the home or the second holder of a request, or has its answer.
func (s *State) Holds(id chicoryhall.RequestID) bool {
	return s.held[id] != nil || s.replicas[id] != nil || s.finished.has(id)
}

// Describe writes everything that decides what a State does next.
func (s *State) Describe() string {
	var out strings.Builder
	for _, h := range s.ordered() {
		fmt.Fprintf(&out, "held %+v;", *h)
	}
	for _, r := range s.orderedReplicas() {
		fmt.Fprintf(&out, "replica %v %s %d %d %d %v %d;", r.record.Tokens, r.home, r.term, r.generation, r.record.Attempt, r.claim, r.handle)
	}
	fmt.Fprintf(&out, "moved %v peers %v slow %v;", s.moved, s.peers, s.slow)
	for _, id := range slices.Sorted(maps.Keys(s.pipes)) {
		p := s.pipes[id]
		fmt.Fprintf(&out, "pipe %s %d %d %v;", id, p.number, len(p.drops), p.retryAt.UnixMilli())
	}
	return out.String()
}
