package quarantine

import (
	"slices"
	"time"
)

const (
	// A fingerprint that was involved in suspectIncidents incidents without having run since is a suspect.
	suspectIncidents = 2
	// convictionIncidents is the number of incidents from which on a fingerprint may be convicted.
	convictionIncidents = 3
	// A fingerprint is convicted after isolatedIncidents of them in which its endpoints were reserved for it, also if
	// other requests may have caused each of them.
	isolatedIncidents = 2
	// settleTime is how long after an incident became known the reports of other daemons on it may arrive.
	settleTime = 1500 * time.Millisecond
	// A request has outlived its incidents once the caller has received provenEvents more events than before them.
	provenEvents = 2
	// InvolvementLifetime is how long an involvement is kept if its fingerprint is not shown to be the cause.
	InvolvementLifetime = 10 * time.Minute
)

// incident is one failure, of one endpoint or of several at the same time, that cost a fingerprint at least one attempt.
type incident struct {
	attempts []string
	// causes are the crashes that explained the losses; crashes contains those that became known later as well.
	causes   []Incarnation
	crashes  []Incarnation
	isolated bool
	// knownAt is when this daemon first knew of the incident's isolated attempt or, if there is none, of the last of its attempts.
	knownAt time.Time
	// order is that in which the last involvement of each incident was added.
	order int
	// hasRivals is set if other fingerprints were involved in one of the crashes and have not been cleared. It is only
	// determined for an isolated incident.
	hasRivals bool
	// explained is set if a request with another, convicted fingerprint has caused one of the crashes. It is only determined
	// for an isolated incident.
	explained bool
}

// takeTimesOf takes over whether another incident that this one absorbs was isolated, and when it became known, if that was sooner.
func (i *incident) takeTimesOf(other *incident) {
	if other.isolated && (!i.isolated || other.knownAt.Before(i.knownAt)) {
		i.knownAt = other.knownAt
	}
	i.isolated = i.isolated || other.isolated
}

// subject is what is known of one fingerprint.
type subject struct {
	incidents []*incident
	// byAttempt and byCause are the incidents of each attempt and of each crash that explained a loss. They are kept only as
	// long as they are needed: byAttempt if there is an isolated incident. added counts the involvements.
	byAttempt map[string]*incident
	byCause   map[Incarnation]*incident
	added     int
	// position is the highest position at which an attempt was lost, and events the greatest number of events that one had made.
	position, events int64
	// isPart is set if the fingerprint is that of a part of prompts. contents are then the lost contents that held the part,
	// and strongestRival is the greatest weight of another part that was involved in one of the crashes, or the number of incidents
	// in which one content was lost apart from the part, if that is greater. Contents are only counted if the part has the weight
	// for a conviction.
	isPart         bool
	contents       map[Fingerprint]bool
	strongestRival int
}

// newSubject returns the subject of involvements. There is at least one.
func newSubject(known *valid) *subject {
	s := &subject{isPart: known.involved[0].IsPart(), byAttempt: make(map[string]*incident), byCause: make(map[Incarnation]*incident)}
	for i, one := range known.involved {
		s.add(one, known.knownAt[i])
	}
	slices.SortFunc(s.incidents, func(a, b *incident) int { return a.order - b.order })
	s.byCause = nil
	if !s.isIsolated() {
		s.byAttempt = nil
	}
	return s
}

// add adds an involvement to the incident that it shares the attempt or the cause with. If there are two such incidents, they
// become one; if there is none, the involvement makes a new one.
func (s *subject) add(one Involvement, knownAt time.Time) {
	s.added++
	s.position, s.events = max(s.position, one.Position), max(s.events, one.Events)
	if one.IsPart() {
		s.addContent(one.Content)
	}
	known := s.incidentsOf(one)
	times := incident{isolated: one.Isolated, knownAt: knownAt}
	for _, i := range known {
		times.takeTimesOf(i)
	}
	merged := s.merge(known)
	merged.isolated, merged.knownAt, merged.order = times.isolated, times.knownAt, s.added
	merged.crashes = appendMissing([]Incarnation{one.Incarnation}, merged.crashes)
	if s.byAttempt[one.Attempt] == nil {
		merged.attempts = append(merged.attempts, one.Attempt)
		s.byAttempt[one.Attempt] = merged
	}
	if !one.Later && s.byCause[one.Incarnation] == nil {
		merged.causes = append(merged.causes, one.Incarnation)
		s.byCause[one.Incarnation] = merged
	}
}

// addContent adds a lost content that held the part.
func (s *subject) addContent(content Fingerprint) {
	if s.contents == nil {
		s.contents = make(map[Fingerprint]bool)
	}
	s.contents[content] = true
}

// incidentsOf returns the incidents that an involvement belongs to, in their order.
func (s *subject) incidentsOf(one Involvement) []*incident {
	var known []*incident
	if i := s.byAttempt[one.Attempt]; i != nil {
		known = append(known, i)
	}
	if i := s.byCause[one.Incarnation]; i != nil && !one.Later && !slices.Contains(known, i) {
		known = append(known, i)
	}
	slices.SortFunc(known, func(a, b *incident) int { return a.order - b.order })
	return known
}

// merge makes up to two incidents one, in the subject also.
func (s *subject) merge(known []*incident) *incident {
	if len(known) == 0 {
		s.incidents = append(s.incidents, &incident{})
		return s.incidents[len(s.incidents)-1]
	}
	merged := known[0]
	for _, absorbed := range known[1:] {
		for _, attempt := range absorbed.attempts {
			s.byAttempt[attempt] = merged
		}
		for _, cause := range absorbed.causes {
			s.byCause[cause] = merged
		}
		merged.attempts = append(merged.attempts, absorbed.attempts...)
		merged.causes = append(merged.causes, absorbed.causes...)
		merged.crashes = appendMissing(merged.crashes, absorbed.crashes)
		s.incidents = slices.DeleteFunc(s.incidents, func(i *incident) bool { return i == absorbed })
	}
	return merged
}

// isRivalOf reports whether a fingerprint that was involved in a crash of another one's incident may explain it. Parts are
// lost in crashes as often as requests have them, so a part is a rival only if it is suspicious itself, and within one
// request only if it is not less suspicious. The content of a request is no rival of its own parts.
func (s *subject) isRivalOf(other *subject, sharesAllAttempts bool) bool {
	switch {
	case s.isPart && other.isPart:
		return s.isSuspicious() && (!sharesAllAttempts || s.weight() >= other.weight())
	case s.isPart || other.isPart:
		return s.isSuspicious() && !sharesAllAttempts
	default:
		return true
	}
}

// isLostOften reports whether the subject is a content that was lost in as many incidents as a conviction takes.
func (s *subject) isLostOften() bool { return !s.isPart && len(s.incidents) >= convictionIncidents }

// mayExplainPart reports whether the subject is a content that was lost in as many crashes as a conviction takes, be it in a single
// incident: an attempt may end all engines of its route.
func (s *subject) mayExplainPart() bool {
	return !s.isPart && len(appendMissing(nil, s.crashes())) >= convictionIncidents
}

// mayBeConvicted reports whether the subject has incidents enough of the kind that convictions rest on.
func (s *subject) mayBeConvicted() bool {
	return s.isPart && s.weight() >= convictionContents || s.isIsolated()
}

// isIsolated reports whether the endpoints were reserved for the fingerprint in any incident.
func (s *subject) isIsolated() bool {
	return slices.ContainsFunc(s.incidents, func(one *incident) bool { return one.isolated })
}

// state returns the fingerprint's state at now.
func (s *subject) state(now time.Time) State {
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
func (s *subject) hasUnsettled(now time.Time) bool {
	return slices.ContainsFunc(s.incidents, func(one *incident) bool { return one.isolated && !one.settled(now) })
}

// isCause reports whether the incidents show that requests with the whole content cause crashes.
func (s *subject) isCause(now time.Time) bool {
	return len(s.incidents) >= convictionIncidents && s.isProven(now)
}

// isProven reports whether there is an isolated incident that nothing else explains, or several that were isolated.
func (s *subject) isProven(now time.Time) bool {
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
func (i *incident) settled(now time.Time) bool { return now.Sub(i.knownAt) >= settleTime }

// lifetime returns how long an involvement of the fingerprint is kept.
func (s *subject) lifetime(now time.Time) time.Duration {
	if !s.isPart && s.isCause(now) {
		return ConvictionLifetime
	}
	return InvolvementLifetime
}

// crashes returns all crashes of the fingerprint's incidents.
func (s *subject) crashes() []Incarnation {
	var all []Incarnation
	for _, one := range s.incidents {
		all = append(all, one.crashes...)
	}
	return all
}
