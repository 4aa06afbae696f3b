package configuration

import (
	"math/rand/v2"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// rumourTargets is the number of peers to which a daemon sends a rumour of a new version.
const rumourTargets = 4

// Rumour is sent to a peer to announce a new version.
type Rumour struct {
	Ref VersionRef `json:"mark"`
}

// Comparison asks a peer for its refs unless it has the same checksum.
type Comparison struct {
	Checksum uint64 `json:"sum"`
	// Refs holds the caller's refs in a second call after the checksums differed; empty in the first.
	Refs []VersionRef `json:"marks,omitempty"`
}

// ComparisonResult is the answer to a Comparison.
type ComparisonResult struct {
	Same bool `json:"same"`
	// Refs holds the answering daemon's refs if the checksums differ.
	Refs []VersionRef `json:"marks,omitempty"`
}

// Fetch asks a peer for its newest version of a service.
type Fetch struct {
	Service chicoryhall.ServiceName `json:"service"`
}

// FetchResult is the answer to a Fetch; Found is false if the peer has no version of the service.
type FetchResult struct {
	Found   bool    `json:"found"`
	Version Version `json:"version"`
}

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
	return s.Sample(others, rumourTargets)
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

// Compare returns the answer to another daemon's comparison.
func (s *State) Compare(request Comparison) ComparisonResult {
	if request.Checksum == s.Checksum() {
		return ComparisonResult{Same: true}
	}
	return ComparisonResult{Refs: s.Refs()}
}
