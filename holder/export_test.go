package holder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// Holds reports whether the daemon is the owner or the backup of a request, or has its answer.
func (s *State) Holds(id chicoryhall.RequestID) bool {
	return s.owned[id] != nil || s.replicas[id] != nil || s.finishedAnswers.has(id)
}

// Describe returns a text of the parts of a State by which the tests tell States apart. It leaves out
// finishedAnswers, nextClaimRetry and the contents of updates in flight, so States that differ only in
// these count as the same.
func (s *State) Describe() string {
	var out strings.Builder
	for _, o := range s.orderedOwned() {
		fmt.Fprintf(&out, "owned %+v;", *o)
	}
	for _, r := range s.orderedReplicas() {
		fmt.Fprintf(&out, "replica %v %s %d %d %d %v %d;", r.record.Tokens, r.owner, r.term, r.generation, r.record.Attempt, r.takeover, r.handle)
	}
	fmt.Fprintf(&out, "owner changes %v peers %v slow until %v;", s.ownerChanges, s.peers, s.slowUntil)
	for _, id := range slices.Sorted(maps.Keys(s.senders)) {
		sender := s.senders[id]
		fmt.Fprintf(&out, "sender %s %d %d %v;", id, sender.inFlight, len(sender.drops), sender.retryAt.UnixMilli())
	}
	return out.String()
}
