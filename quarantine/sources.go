package quarantine

import (
	"cmp"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// sources holds the reports and the alerts of other daemons by fingerprint, and notes which fingerprints a change concerns.
type sources struct {
	all map[sourceID]*source
	// holders are the sources that contain involvements of each fingerprint, reports first, in the order of the daemons.
	holders map[Fingerprint][]*source
	// cleared counts the reports with each clearance, this daemon's own one included.
	cleared map[Clearance]int
	// touched are the fingerprints whose involvements or clearances have changed.
	touched map[Fingerprint]bool
}

// sourceID identifies the report, or the alert, of a daemon.
type sourceID struct {
	isAlert bool
	daemon  chicoryhall.DaemonID
}

// source is a report or an alert.
type source struct {
	id       sourceID
	report   Report
	involved map[Fingerprint][]Involvement
}

func newSources() *sources {
	return &sources{
		all: make(map[sourceID]*source), holders: make(map[Fingerprint][]*source), cleared: make(map[Clearance]int),
		touched: make(map[Fingerprint]bool),
	}
}

// compareSources orders reports before alerts, and each of these by the daemons.
func compareSources(a, b *source) int {
	if a.id.isAlert != b.id.isAlert {
		if a.id.isAlert {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.id.daemon, b.id.daemon)
}

// set replaces a report. An empty one is removed.
func (s *sources) set(id sourceID, report Report) {
	before := s.all[id]
	if before == nil {
		before = &source{id: id}
		s.all[id] = before
	}
	if !slices.Equal(before.report.Cleared, report.Cleared) {
		s.removeCleared(before.report.Cleared)
		s.addCleared(report.Cleared)
	}
	if !slices.Equal(before.report.Involved, report.Involved) {
		s.setInvolved(before, byFingerprint(report.Involved))
	}
	before.report = report
	if len(report.Involved)+len(report.Cleared) == 0 {
		delete(s.all, id)
	}
}

// setInvolved replaces the involvements of a source.
func (s *sources) setInvolved(of *source, involved map[Fingerprint][]Involvement) {
	for fingerprint := range of.involved {
		if len(involved[fingerprint]) == 0 {
			s.touched[fingerprint] = true
			s.removeHolder(fingerprint, of)
		}
	}
	for fingerprint, list := range involved {
		before := of.involved[fingerprint]
		if len(before) == 0 {
			s.addHolder(fingerprint, of)
		}
		if !slices.Equal(before, list) {
			s.touched[fingerprint] = true
		}
	}
	of.involved = involved
}

func (s *sources) addHolder(fingerprint Fingerprint, added *source) {
	holders := s.holders[fingerprint]
	index, _ := slices.BinarySearchFunc(holders, added, compareSources)
	s.holders[fingerprint] = slices.Insert(holders, index, added)
}

func (s *sources) removeHolder(fingerprint Fingerprint, removed *source) {
	holders := slices.DeleteFunc(s.holders[fingerprint], func(one *source) bool { return one == removed })
	if len(holders) == 0 {
		delete(s.holders, fingerprint)
		return
	}
	s.holders[fingerprint] = holders
}

// addCleared counts clearances.
func (s *sources) addCleared(cleared []Clearance) {
	for _, one := range cleared {
		s.cleared[one]++
		s.touched[one.Fingerprint] = true
	}
}

// removeCleared counts clearances no longer.
func (s *sources) removeCleared(cleared []Clearance) {
	for _, one := range cleared {
		s.cleared[one]--
		if s.cleared[one] == 0 {
			delete(s.cleared, one)
		}
		s.touched[one.Fingerprint] = true
	}
}

// isCleared reports whether any report withdraws an involvement.
func (s *sources) isCleared(one Involvement) bool {
	return s.cleared[Clearance{Fingerprint: one.Fingerprint, Incarnation: one.Incarnation}] > 0
}

// contains reports whether any report contains an involvement that a clearance withdraws.
func (s *sources) contains(cleared Clearance) bool {
	return slices.ContainsFunc(s.holders[cleared.Fingerprint], func(one *source) bool {
		return containsCleared(one.involved[cleared.Fingerprint], cleared)
	})
}

// containsCleared reports whether a clearance withdraws any of the involvements.
func containsCleared(involved []Involvement, cleared Clearance) bool {
	return slices.ContainsFunc(involved, func(one Involvement) bool {
		return one.Fingerprint == cleared.Fingerprint && one.Incarnation == cleared.Incarnation
	})
}

// byFingerprint returns involvements by their fingerprints, in the same order.
func byFingerprint(involved []Involvement) map[Fingerprint][]Involvement {
	all := make(map[Fingerprint][]Involvement)
	for _, one := range involved {
		all[one.Fingerprint] = append(all[one.Fingerprint], one)
	}
	return all
}

// manyInvolvements is the number from which on they are found by a map: most fingerprints have one or two.
const manyInvolvements = 16

// valid holds the involvements of a fingerprint that no report withdraws, each once, and since when each is known.
type valid struct {
	involved []Involvement
	knownAt  []time.Time
	// indexes is nil if there are few.
	indexes map[Involvement]int
}

// index returns the index of an involvement, or -1.
func (v *valid) index(one Involvement) int {
	if v.indexes == nil {
		return slices.Index(v.involved, one)
	}
	if index, found := v.indexes[one]; found {
		return index
	}
	return -1
}

// add adds an involvement, unless it is contained, that is known since a time.
func (v *valid) add(one Involvement, at time.Time) {
	if v.index(one) >= 0 {
		return
	}
	v.involved, v.knownAt = append(v.involved, one), append(v.knownAt, at)
	switch {
	case v.indexes != nil:
		v.indexes[one] = len(v.involved) - 1
	case len(v.involved) >= manyInvolvements:
		v.indexes = make(map[Involvement]int)
		for i, known := range v.involved {
			v.indexes[known] = i
		}
	}
}

// since returns since when an involvement is known, or now if it is not.
func (v *valid) since(one Involvement, now time.Time) time.Time {
	if index := v.index(one); index >= 0 {
		return v.knownAt[index]
	}
	return now
}

// without returns the involvements that are not explained.
func (v *valid) without(isExplained func(Involvement) bool) *valid {
	if !slices.ContainsFunc(v.involved, isExplained) {
		return v
	}
	left := &valid{}
	for i, one := range v.involved {
		if !isExplained(one) {
			left.involved, left.knownAt = append(left.involved, one), append(left.knownAt, v.knownAt[i])
		}
	}
	return left
}
