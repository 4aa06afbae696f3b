package configuration

import (
	"math/rand/v2"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// rumourFanout is the number of peers to which a daemon sends a rumour of a new version.
const rumourFanout = 4

// PeerSelector chooses the peers to send rumours to and to compare with; it does no I/O.
type PeerSelector struct {
	random *rand.Rand
}

// NewPeerSelector returns a PeerSelector that uses the given source of randomness.
func NewPeerSelector(source rand.Source) *PeerSelector {
	return &PeerSelector{random: rand.New(source)}
}

// RumourTargets returns the daemons to send a rumour of a version to; from is the daemon that the version came from, or empty.
func (s *PeerSelector) RumourTargets(members []chicoryhall.DaemonID, from chicoryhall.DaemonID) []chicoryhall.DaemonID {
	others := slices.DeleteFunc(slices.Clone(members), func(id chicoryhall.DaemonID) bool { return id == from })
	return s.Sample(others, rumourFanout)
}

// Sample returns at most n of the members, chosen uniformly at random.
func (s *PeerSelector) Sample(members []chicoryhall.DaemonID, n int) []chicoryhall.DaemonID {
	var sample []chicoryhall.DaemonID
	for _, i := range s.random.Perm(len(members))[:min(n, len(members))] {
		sample = append(sample, members[i])
	}
	return sample
}

// RandomPeer returns a random daemon to compare with; ok is false if there is none.
func (s *PeerSelector) RandomPeer(members []chicoryhall.DaemonID) (id chicoryhall.DaemonID, ok bool) {
	if len(members) == 0 {
		return "", false
	}
	return members[s.random.IntN(len(members))], true
}
