package quarantine

import (
	"slices"
	"time"
)

const (
	// A part is a suspect once suspectContents requests with different contents that hold it were lost in crashes, with no
	// answer to outweigh them. As a request that is repeated counts once, sound parts hardly get there.
	suspectContents = 3
	// A part is convicted without a trial once so many were lost and the reports on them should have arrived, unless another part
	// explains the crashes nearly as well.
	convictionContents = 4
	// suspiciousContents is the number of them from which on a part may explain a crash beside another one.
	suspiciousContents = 2
	// partConvictionTime is how long requests with a convicted part are refused after the last crash. Then one of them runs
	// in a trial, as the conviction may be wrong.
	partConvictionTime = 2 * time.Minute
	// jointTrialPause is the time without a crash after which a request with several suspect parts runs in a trial. Before,
	// trials of requests with one of them each show more.
	jointTrialPause = 5 * time.Second
)

// weight returns the number of incidents that count against a part: not more than there were different contents.
func (s *subject) weight() int { return min(len(s.incidents), len(s.contents)) }

// isSuspicious reports whether the fingerprint may explain a crash.
func (s *subject) isSuspicious() bool {
	if s.isPart {
		return s.weight() >= suspiciousContents
	}
	return len(s.incidents) >= suspectIncidents
}

// partState is state for a part of a prompt.
func (s *subject) partState(now time.Time) State {
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
func (s *subject) isPartCause(now time.Time) bool {
	return s.isProven(now) || s.isHeavy(s.settledWeight(now))
}

// isHeavy reports whether a part with a weight is convicted without a trial.
func (s *subject) isHeavy(weight int) bool {
	return weight >= convictionContents && weight > s.strongestRival+1
}

// settledWeight is the weight by those incidents on which the reports of all daemons should have arrived: they may show another
// part, or a content, that explains them as well.
func (s *subject) settledWeight(now time.Time) int {
	settled := 0
	for _, one := range s.incidents {
		if one.settled(now) {
			settled++
		}
	}
	return min(settled, len(s.contents))
}

// lastKnownAt returns when the last of the incidents became known.
func (s *subject) lastKnownAt() time.Time {
	var last time.Time
	for _, one := range s.incidents {
		if one.knownAt.After(last) {
			last = one.knownAt
		}
	}
	return last
}

// lapsesAt returns when a conviction of the part ends.
func (s *subject) lapsesAt() time.Time { return s.lastKnownAt().Add(partConvictionTime) }

// oldest returns the part's incidents that became known first, at most so many.
func (s *subject) oldest(most int) []*incident {
	sorted := slices.SortedStableFunc(slices.Values(s.incidents), func(a, b *incident) int { return a.knownAt.Compare(b.knownAt) })
	return sorted[:min(most, len(sorted))]
}

// Began returns what an answer that begins now withdraws once it has gone on beyond its beginning. As a part may be the
// cause although not each request with it crashes an endpoint, that is one incident for each part, or half of them if the
// request runs in a trial. An incident that is the only one counts against nobody, so it is withdrawn only by the daemon
// that has reported it.
func (e *Evidence) Began(parts []Fingerprint, isTrial bool, now time.Time) []Clearance {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	if len(e.rest.subjects) == 0 {
		return nil
	}
	var withdrawn []Clearance
	for _, part := range parts {
		known := e.rest.subjects[part]
		if known == nil || !known.isPart {
			continue
		}
		if len(known.incidents) == 1 && !e.isOwn(part, known.incidents[0]) && !e.staysSuspect(part) {
			continue
		}
		most := 1
		if isTrial {
			most = (len(known.incidents) + 1) / 2
		}
		for _, one := range known.oldest(most) {
			for _, crash := range one.crashes {
				withdrawn = append(withdrawn, Clearance{Fingerprint: part, Incarnation: crash})
			}
		}
	}
	return withdrawn
}

// isOwn reports whether this daemon has reported an incident. The caller holds e.mu.
func (e *Evidence) isOwn(fingerprint Fingerprint, one *incident) bool {
	return slices.ContainsFunc(e.own.Involved, func(reported Involvement) bool {
		return reported.Fingerprint == fingerprint && slices.Contains(one.crashes, reported.Incarnation)
	})
}
