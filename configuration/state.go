package configuration

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// State holds the newest known version of each service; it does no I/O.
type State struct {
	versions map[chicoryhall.ServiceName]Version
}

// NewState returns an empty State.
func NewState() *State {
	return &State{versions: map[chicoryhall.ServiceName]Version{}}
}

// Accept stores a version from any source if it is newer than the known one, and reports whether it did.
func (s *State) Accept(v Version) bool {
	if v.Number <= s.versions[v.Service].Number {
		return false
	}
	s.versions[v.Service] = v
	return true
}

// Version returns the known version of a service.
func (s *State) Version(service chicoryhall.ServiceName) (Version, bool) {
	v, known := s.versions[service]
	return v, known
}

// Versions returns the versions of all services, ordered by service.
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

// Sum returns a checksum of all marks; daemons with the same versions have the same sum.
func (s *State) Sum() uint64 {
	sum := xxhash.New()
	for _, mark := range s.Marks() {
		_, _ = sum.WriteString(encode(mark)) // Writing to a hash never fails.
	}
	return sum.Sum64()
}

// Missing returns the marks that are newer than the known versions.
func (s *State) Missing(marks []Mark) []Mark {
	var missing []Mark
	for _, mark := range marks {
		if mark.Number > s.versions[mark.Service].Number {
			missing = append(missing, mark)
		}
	}
	return missing
}

// Ahead returns the known versions that are newer than the given marks of another daemon or of the table.
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

// Disputed returns the marks that have the number of a known version but another digest.
func (s *State) Disputed(marks []Mark) []Mark {
	var conflicting []Mark
	for _, mark := range marks {
		v, known := s.versions[mark.Service]
		if known && v.Number == mark.Number && v.Digest != mark.Digest {
			conflicting = append(conflicting, mark)
		}
	}
	return conflicting
}
