package idempotency

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// OwnersPerKey is the number of daemons that know the decision on a key.
const OwnersPerKey = 2

// OwnersOf returns the owner of a key and its successors, OwnersPerKey daemons in all, among the live daemons of the
// region.
func OwnersOf(key Key, members chicoryhall.Members) []chicoryhall.DaemonID {
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
	return live[:min(OwnersPerKey, len(live))]
}

func weight(key Key, daemon chicoryhall.DaemonID) uint64 {
	return xxhash.Sum64String(strings.Join([]string{
		string(key.Organisation), string(key.Service), key.Text, string(daemon),
	}, "\x00"))
}
