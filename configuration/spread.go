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
	Mark Mark `json:"mark"`
}

// Comparison asks a peer for its marks unless it has the same sum.
type Comparison struct {
	Sum uint64 `json:"sum"`
	// Marks holds the caller's marks in a second call after the sums differed; empty in the first.
	Marks []Mark `json:"marks,omitempty"`
}

// ComparisonResult is the answer to a Comparison.
type ComparisonResult struct {
	Same bool `json:"same"`
	// Marks holds the answering daemon's marks if the sums differ.
	Marks []Mark `json:"marks,omitempty"`
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

// Spread chooses the peers to send rumours to and to compare with; it does no I/O.
type Spread struct {
	random *rand.Rand
}

// NewSpread returns a Spread that uses the given source of randomness.
func NewSpread(source rand.Source) *Spread {
	return &Spread{random: rand.New(source)}
}

// Tell returns the daemons to send a rumour of a version to; from is the daemon that the version came from, or empty.
func (s *Spread) Tell(members []chicoryhall.DaemonID, from chicoryhall.DaemonID) []chicoryhall.DaemonID {
	others := slices.DeleteFunc(slices.Clone(members), func(id chicoryhall.DaemonID) bool { return id == from })
	return s.Sample(others, rumourTargets)
}

// Sample returns at most n of the members, chosen uniformly at random.
func (s *Spread) Sample(members []chicoryhall.DaemonID, n int) []chicoryhall.DaemonID {
	var sample []chicoryhall.DaemonID
	for _, i := range s.random.Perm(len(members))[:min(n, len(members))] {
		sample = append(sample, members[i])
	}
	return sample
}

// Ask returns a random daemon to compare with; ok is false if there is none.
func (s *Spread) Ask(members []chicoryhall.DaemonID) (id chicoryhall.DaemonID, ok bool) {
	if len(members) == 0 {
		return "", false
	}
	return members[s.random.IntN(len(members))], true
}

// Compare returns the answer to another daemon's comparison.
func (s *State) Compare(request Comparison) ComparisonResult {
	if request.Sum == s.Sum() {
		return ComparisonResult{Same: true}
	}
	return ComparisonResult{Marks: s.Marks()}
}
