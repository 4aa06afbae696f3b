package configuration

import (
	"math/rand/v2"
	"slices"

	"chicoryhall.example/chicoryhall"
)

// rumourFanout is how many peers hear of a version from each daemon that learns it.
const rumourFanout = 4

// Rumour tells a peer of one version.
type Rumour struct {
	Mark Mark `json:"mark"`
}

// Comparison asks a peer for its marks unless its sum is the same.
type Comparison struct {
	Sum uint64 `json:"sum"`
	// Marks are given in the second call, when the sums differed.
	Marks []Mark `json:"marks,omitempty"`
}

// ComparisonResult answers a Comparison.
type ComparisonResult struct {
	Same bool `json:"same"`
	// Marks are the answering daemon's, when the sums differ.
	Marks []Mark `json:"marks,omitempty"`
}

// Fetch asks for the newest version of a service.
type Fetch struct {
	Service chicoryhall.ServiceName `json:"service"`
}

// FetchResult answers a Fetch; Found is false when the service is unknown.
type FetchResult struct {
	Found   bool    `json:"found"`
	Version Version `json:"version"`
}

// Spread chooses whom to tell and whom to ask; it does no I/O.
type Spread struct {
	random *rand.Rand
}

// NewSpread returns a Spread that draws from the given source.
func NewSpread(source rand.Source) *Spread {
	return &Spread{random: rand.New(source)}
}

// Tell returns the daemons that hear of a version which was learnt from another daemon or accepted here.
func (s *Spread) Tell(members []chicoryhall.DaemonID, from chicoryhall.DaemonID) []chicoryhall.DaemonID {
	others := slices.DeleteFunc(slices.Clone(members), func(id chicoryhall.DaemonID) bool { return id == from })
	return s.Sample(others, rumourFanout)
}

// Sample returns at most n of the members, each equally likely.
func (s *Spread) Sample(members []chicoryhall.DaemonID, n int) []chicoryhall.DaemonID {
	var chosen []chicoryhall.DaemonID
	for _, i := range s.random.Perm(len(members))[:min(n, len(members))] {
		chosen = append(chosen, members[i])
	}
	return chosen
}

// Ask returns the daemon to compare with next; ok is false when there is none.
func (s *Spread) Ask(members []chicoryhall.DaemonID) (id chicoryhall.DaemonID, ok bool) {
	if len(members) == 0 {
		return "", false
	}
	return members[s.random.IntN(len(members))], true
}

// Compare answers another daemon's comparison.
func (s *State) Compare(asked Comparison) ComparisonResult {
	if asked.Sum == s.Sum() {
		return ComparisonResult{Same: true}
	}
	return ComparisonResult{Marks: s.Marks()}
}
