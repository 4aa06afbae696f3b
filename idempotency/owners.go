package idempotency

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// ReplicasPerKey is the number of daemons that store the decision on a key: its owner and a successor.
const ReplicasPerKey = 2

// ReplicasOf returns the daemons that store the decision on a key, its owner first. It chooses from the daemons of the
// region in state MemberAlive, and returns fewer than ReplicasPerKey if there are fewer of these.
func ReplicasOf(key Key, members chicoryhall.Members) []chicoryhall.DaemonID {
	self := members.Self()
	live := []chicoryhall.DaemonID{self.ID}
	for _, member := range members.Others() {
		if member.State == chicoryhall.MemberAlive && member.Region == self.Region {
			live = append(live, member.ID)
		}
	}
	slices.SortFunc(live, func(a, b chicoryhall.DaemonID) int {
		weightA, weightB := weight(key, a), weight(key, b)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		default:
			return strings.Compare(string(a), string(b))
		}
	})
	return live[:min(ReplicasPerKey, len(live))]
}

// weight returns the weight of a daemon for a key in rendezvous hashing; the daemon with the highest is the owner.
func weight(key Key, daemon chicoryhall.DaemonID) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		string(key.Organisation), string(key.Service), key.Text, string(daemon),
	}, "\x00"))
}
