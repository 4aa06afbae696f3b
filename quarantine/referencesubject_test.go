package quarantine

import (
	"slices"
	"time"
)

// incident is one failure, of one endpoint or of several at the same time, that cost a fingerprint at least one attempt.
type referenceIncident struct {
	attempts []string
	// causes are the crashes that explained the losses; crashes contains those that became known later as well.
	causes   []Incarnation
	crashes  []Incarnation
	isolated bool
	// knownAt is when this daemon first knew of the incident's isolated attempt.
	knownAt time.Time
	// hasRivals is set if other fingerprints were involved in one of the crashes and have not been cleared.
	hasRivals bool
	// explained is set if a request with another, convicted fingerprint has caused one of the crashes.
	explained bool
}

// referenceAddTo adds an involvement to the incident that it shares the attempt or the cause with. If there are two such
// incidents, they become one; if there is none, the involvement makes a new one.
func referenceAddTo(incidents []*referenceIncident, added Involvement, knownAt time.Time) []*referenceIncident {
	merged := &referenceIncident{attempts: []string{added.Attempt}, crashes: []Incarnation{added.Incarnation}, isolated: added.Isolated, knownAt: knownAt}
	if !added.Later {
		merged.causes = merged.crashes
	}
	separate := incidents[:0]
	for _, known := range incidents {
		if slices.Contains(known.attempts, added.Attempt) || !added.Later && slices.Contains(known.causes, added.Incarnation) {
			merged.absorb(known)
		} else {
			separate = append(separate, known)
		}
	}
	return append(separate, merged)
}

func (i *referenceIncident) absorb(other *referenceIncident) {
	i.attempts = append(i.attempts, other.attempts...)
	i.causes = slices.Concat(i.causes, other.causes)
	i.crashes = slices.Concat(i.crashes, other.crashes)
	if other.isolated && (!i.isolated || other.knownAt.Before(i.knownAt)) {
		i.knownAt = other.knownAt
	}
	i.isolated = i.isolated || other.isolated
}

// subject is what is known of one fingerprint.
type referenceSubject struct {
	incidents []*referenceIncident
	// position is the highest position at which an attempt was lost, and events the greatest number of events that one had made.
	position, events int64
	// isPart is set if the fingerprint is that of a part of prompts. contents are then the lost contents that held the part,
	// and strongestRival is the greatest weight of another part that was involved in one of the crashes.
	isPart         bool
	contents       map[Fingerprint]bool
	strongestRival int
	// beside are the incidents in which each content was lost by attempts that did not hold the part.
	beside map[Fingerprint]map[*referenceIncident]bool
}

// newReferenceSubject returns the subject of an involvement's fingerprint, without any incident.
func newReferenceSubject(one Involvement) *referenceSubject {
	return &referenceSubject{isPart: one.IsPart(), contents: make(map[Fingerprint]bool)}
}

// add adds an involvement that has been known since a time.
func (s *referenceSubject) add(one Involvement, knownAt time.Time) {
	s.incidents = referenceAddTo(s.incidents, one, knownAt)
	s.position, s.events = max(s.position, one.Position), max(s.events, one.Events)
	if one.IsPart() {
		s.contents[one.Content] = true
	}
}

// addBeside notes that a content was lost in an incident by an attempt that did not hold the part.
func (s *referenceSubject) addBeside(content Fingerprint, one *referenceIncident) {
	if s.beside == nil {
		s.beside = make(map[Fingerprint]map[*referenceIncident]bool)
	}
	if s.beside[content] == nil {
		s.beside[content] = make(map[*referenceIncident]bool)
	}
	s.beside[content][one] = true
	s.strongestRival = max(s.strongestRival, len(s.beside[content]))
}

// compare notes that another fingerprint was involved in a crash of an incident. Parts are lost in crashes as often as
// requests have them, so a part is a rival only if it is suspicious itself, and within one request only if it is not less
// suspicious. The content of a request is no rival of its own parts.
func (s *referenceSubject) compare(one *referenceIncident, other Involvement, rival *referenceSubject) {
	sameAttempt := slices.Contains(one.attempts, other.Attempt)
	switch {
	case s.isPart && rival.isPart:
		s.strongestRival = max(s.strongestRival, rival.weight())
		one.hasRivals = one.hasRivals || rival.isSuspicious() && (!sameAttempt || rival.weight() >= s.weight())
	case s.isPart || rival.isPart:
		one.hasRivals = one.hasRivals || rival.isSuspicious() && !sameAttempt
		if s.isPart && !sameAttempt && len(distinct(rival.crashes())) >= convictionIncidents {
			s.addBeside(other.Fingerprint, one)
		}
	default:
		one.hasRivals = true
	}
}

// state returns the fingerprint's state at now.
func (s *referenceSubject) state(now time.Time) State {
	switch {
	case s.isPart:
		return s.partState(now)
	case len(s.incidents) < suspectIncidents:
		return StateFree
	case s.isCause(now):
		return StateConvicted
	case s.hasUnsettled(now):
		return StateUnsettled
	default:
		return StateSuspect
	}
}

// hasUnsettled reports whether the reports on an isolated incident may be missing.
func (s *referenceSubject) hasUnsettled(now time.Time) bool {
	return slices.ContainsFunc(s.incidents, func(one *referenceIncident) bool { return one.isolated && !one.settled(now) })
}

// isCause reports whether the incidents show that requests with the whole content cause crashes.
func (s *referenceSubject) isCause(now time.Time) bool {
	return len(s.incidents) >= convictionIncidents && s.isProven(now)
}

// isProven reports whether there is an isolated incident that nothing else explains, or several that were isolated.
func (s *referenceSubject) isProven(now time.Time) bool {
	isolated, unexplained := 0, false
	for _, one := range s.incidents {
		if one.isolated && !one.explained {
			isolated++
			unexplained = unexplained || !one.hasRivals && one.settled(now)
		}
	}
	return unexplained || isolated >= isolatedIncidents
}

// settled reports whether the reports of all daemons on the incident should have arrived.
func (i *referenceIncident) settled(now time.Time) bool { return now.Sub(i.knownAt) >= settleTime }

// lifetime returns how long an involvement of the fingerprint is kept.
func (s *referenceSubject) lifetime(now time.Time) time.Duration {
	if !s.isPart && s.isCause(now) {
		return ConvictionLifetime
	}
	return InvolvementLifetime
}

// crashes returns all crashes of the fingerprint's incidents.
func (s *referenceSubject) crashes() []Incarnation {
	var all []Incarnation
	for _, one := range s.incidents {
		all = append(all, one.crashes...)
	}
	return all
}

// weight returns the number of incidents that count against a part: not more than there were different contents.
func (s *referenceSubject) weight() int { return min(len(s.incidents), len(s.contents)) }

// isSuspicious reports whether the fingerprint may explain a crash.
func (s *referenceSubject) isSuspicious() bool {
	if s.isPart {
		return s.weight() >= suspiciousContents
	}
	return len(s.incidents) >= suspectIncidents
}

// partState is state for a part of a prompt.
func (s *referenceSubject) partState(now time.Time) State {
	switch {
	case s.weight() < suspectContents:
		return StateFree
	case s.isPartCause(now) && now.Before(s.lapsesAt()):
		return StateConvicted
	case s.hasUnsettled(now) || s.isHeavy(s.weight()) && !s.isHeavy(s.settledWeight(now)):
		return StateUnsettled
	default:
		return StateSuspect
	}
}

// isPartCause reports whether a trial, or the lack of another explanation, shows that the part causes crashes.
func (s *referenceSubject) isPartCause(now time.Time) bool {
	return s.isProven(now) || s.isHeavy(s.settledWeight(now))
}

func (s *referenceSubject) isHeavy(weight int) bool {
	return weight >= convictionContents && weight > s.strongestRival+1
}

// settledWeight is the weight without the incidents that have not settled.
func (s *referenceSubject) settledWeight(now time.Time) int {
	settled := slices.DeleteFunc(slices.Clone(s.incidents), func(one *referenceIncident) bool { return !one.settled(now) })
	return min(len(settled), len(s.contents))
}

// lastKnownAt returns when the last of the incidents became known.
func (s *referenceSubject) lastKnownAt() time.Time {
	var last time.Time
	for _, one := range s.incidents {
		if one.knownAt.After(last) {
			last = one.knownAt
		}
	}
	return last
}

// lapsesAt returns when a conviction of the part ends.
func (s *referenceSubject) lapsesAt() time.Time { return s.lastKnownAt().Add(partConvictionTime) }

// oldest returns the part's incidents that became known first, at most so many.
func (s *referenceSubject) oldest(most int) []*referenceIncident {
	sorted := slices.SortedStableFunc(slices.Values(s.incidents), func(a, b *referenceIncident) int { return a.knownAt.Compare(b.knownAt) })
	return sorted[:min(most, len(sorted))]
}
