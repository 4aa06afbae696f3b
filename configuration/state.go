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

// Update stores a version from any source if it is newer than the known one, and reports whether it did.
func (s *State) Update(v Version) bool {
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

// Refs returns the refs of all versions, ordered by service.
func (s *State) Refs() []VersionRef {
	var refs []VersionRef
	for _, v := range s.Versions() {
		refs = append(refs, v.Ref())
	}
	return refs
}

// Checksum returns a checksum of all refs; daemons with the same versions have the same checksum.
func (s *State) Checksum() uint64 {
	sum := xxhash.New()
	for _, ref := range s.Refs() {
		_, _ = sum.WriteString(encode(ref)) // Writing to a hash never fails.
	}
	return sum.Sum64()
}

// Missing returns the refs that are newer than the known versions.
func (s *State) Missing(refs []VersionRef) []VersionRef {
	var missing []VersionRef
	for _, ref := range refs {
		if ref.Number > s.versions[ref.Service].Number {
			missing = append(missing, ref)
		}
	}
	return missing
}

// NewerThan returns the known versions that are newer than the given refs of another daemon or of the table.
func (s *State) NewerThan(refs []VersionRef) []Version {
	theirs := map[chicoryhall.ServiceName]int64{}
	for _, ref := range refs {
		theirs[ref.Service] = ref.Number
	}
	var ahead []Version
	for _, v := range s.Versions() {
		if v.Number > theirs[v.Service] {
			ahead = append(ahead, v)
		}
	}
	return ahead
}

// Diverging returns the refs that have the number of a known version but another digest. Neither version replaces the
// other, as only a higher number does; the next accepted change replaces both.
func (s *State) Diverging(refs []VersionRef) []VersionRef {
	var diverging []VersionRef
	for _, ref := range refs {
		v, known := s.versions[ref.Service]
		if known && v.Number == ref.Number && v.Digest != ref.Digest {
			diverging = append(diverging, ref)
		}
	}
	return diverging
}

// Compare returns the answer to another daemon's comparison.
func (s *State) Compare(request Comparison) ComparisonResult {
	if request.Checksum == s.Checksum() {
		return ComparisonResult{Same: true}
	}
	return ComparisonResult{Refs: s.Refs()}
}
