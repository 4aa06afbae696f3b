package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// State is the newest version known of each service; it does no I/O.
type State struct {
	versions map[chicoryhall.ServiceName]Version
}

// NewState returns an empty State.
func NewState() *State {
	return &State{versions: map[chicoryhall.ServiceName]Version{}}
}

// Accept takes a version from any source and tells whether it is newer than the one known.
func (s *State) Accept(v Version) bool {
	if v.Number <= s.versions[v.Service].Number {
		return false
	}
	s.versions[v.Service] = v
	return true
}

// Version returns the version known of a service.
func (s *State) Version(service chicoryhall.ServiceName) (Version, bool) {
	v, known := s.versions[service]
	return v, known
}

// Versions returns all versions, ordered by service.
func (s *State) Versions() []Version {
	return slices.SortedFunc(maps.Values(s.versions), func(a, b Version) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// Marks returns the marks of all versions, ordered by service.
func (s *State) Marks() []Mark {
	var marks []Mark
	for _, v := range s.Versions() {
		marks = append(marks, v.Mark())
	}
	return marks
}

// Sum is equal at two daemons that know the same versions.
func (s *State) Sum() uint64 {
	sum := xxhash.New()
	for _, mark := range s.Marks() {
		_, _ = sum.WriteString(encode(mark)) // Writing to a hash never fails.
	}
	return sum.Sum64()
}

// Missing returns those marks that are newer than what is known.
func (s *State) Missing(marks []Mark) []Mark {
	var missing []Mark
	for _, mark := range marks {
		if mark.Number > s.versions[mark.Service].Number {
			missing = append(missing, mark)
		}
	}
	return missing
}

// Ahead returns the versions that are newer than the marks of another daemon or of the table.
func (s *State) Ahead(marks []Mark) []Version {
	known := map[chicoryhall.ServiceName]int64{}
	for _, mark := range marks {
		known[mark.Service] = mark.Number
	}
	var ahead []Version
	for _, v := range s.Versions() {
		if v.Number > known[v.Service] {
			ahead = append(ahead, v)
		}
	}
	return ahead
}

// Disputed returns the marks whose number is known under another digest.
func (s *State) Disputed(marks []Mark) []Mark {
	var disputed []Mark
	for _, mark := range marks {
		v, known := s.versions[mark.Service]
		if known && v.Number == mark.Number && v.Digest != mark.Digest {
			disputed = append(disputed, mark)
		}
	}
	return disputed
}
