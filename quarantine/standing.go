package quarantine

import (
	"slices"
	"time"
)

// Standing is what is known of requests with one content, or with one fingerprint.
type Standing struct {
	State State
	// Subject is the fingerprint that the state rests on: that of the whole content, or of a part.
	Subject Fingerprint
	// Incidents is the number of incidents that count against the subject.
	Incidents int
	// Blocked is set if the content is suspect but a trial would show too little, as several of its parts are suspect.
	Blocked bool
	// Crashes are those of the incidents of the whole content. A request that starts now and outlives them clears the whole
	// content of them.
	Crashes []Incarnation
	// Lifetime is how long the state is kept at most.
	Lifetime time.Duration
	// ProvenAt is the position that an answer must reach to outlive the crashes, unless it ends before, and ProvenAfter the number of
	// events that the attempt itself must make: one that goes on where others were lost has not outlived what they did.
	ProvenAt, ProvenAfter int64
}

// WithPending returns the standing of a free content with its pending crashes, each counted as an incident. The content becomes a
// suspect if that makes enough incidents: a trial costs little, and another free run may end endpoints.
func (s Standing) WithPending(content Fingerprint, pending Pending) Standing {
	if len(pending.Crashes) == 0 || s.Incidents+len(pending.Crashes) < suspectIncidents {
		return s
	}
	s.State, s.Subject = StateSuspect, content
	s.Incidents += len(pending.Crashes)
	s.Crashes = append(slices.Clone(s.Crashes), pending.Crashes...)
	s.ProvenAt, s.ProvenAfter = max(s.ProvenAt, pending.Position+provenEvents), max(s.ProvenAfter, pending.Events+provenEvents)
	return s
}

// Standing returns what is known of a fingerprint.
func (e *Evidence) Standing(fingerprint Fingerprint, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	return e.standing(fingerprint, now)
}

// ContentStanding returns what is known of a content. Its worst part decides if its state is worse than that of the whole
// content, or both are suspect: trials of the part show more.
func (e *Evidence) ContentStanding(content Content, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	standing := e.standing(content.Whole, now)
	if len(e.rest.subjects) == 0 {
		return standing
	}
	part, suspects := e.worstPart(content.Parts, now)
	if part.State == StateFree || part.State.severity() < standing.State.severity() {
		return standing
	}
	part.Crashes, part.ProvenAt, part.ProvenAfter = standing.Crashes, standing.ProvenAt, standing.ProvenAfter
	lastCrash := e.rest.subjects[part.Subject].lastKnownAt()
	part.Blocked = part.State == StateSuspect && suspects > 1 && now.Sub(lastCrash) < jointTrialPause
	return part
}

// standing returns what is known of a fingerprint. The caller holds e.mu.
func (e *Evidence) standing(fingerprint Fingerprint, now time.Time) Standing {
	known := standingOf(e.rest.subjects[fingerprint], fingerprint, now)
	if known.State == StateFree && e.staysSuspect(fingerprint) {
		known = standingOf(e.all.subjects[fingerprint], fingerprint, now)
		known.State = StateSuspect
	}
	return known
}

// staysSuspect reports whether a fingerprint is still a suspect although convicted parts explain its incidents, as the convictions
// may be wrong, or it may be a cause as well: a content that was lost too often, or a part that was lost in a trial which they do
// not explain. The caller holds e.mu.
func (e *Evidence) staysSuspect(fingerprint Fingerprint) bool {
	all, rest := e.all.subjects[fingerprint], e.rest.subjects[fingerprint]
	switch {
	case all == nil:
		return false
	case all.isPart:
		return rest != nil && rest.isIsolated() && all.weight() >= suspectContents
	default:
		return all.isLostOften()
	}
}

// standingOf returns what a subject, which may be nil, says of a fingerprint.
func standingOf(known *subject, fingerprint Fingerprint, now time.Time) Standing {
	switch {
	case known == nil:
		return Standing{Subject: fingerprint}
	case known.isPart:
		return Standing{
			State: known.state(now), Subject: fingerprint, Incidents: known.weight(), Lifetime: max(0, known.lapsesAt().Sub(now)),
		}
	default:
		return Standing{
			State: known.state(now), Subject: fingerprint, Incidents: len(known.incidents), Crashes: known.crashes(),
			ProvenAt: known.position + provenEvents, ProvenAfter: known.events + provenEvents, Lifetime: known.lifetime(now),
		}
	}
}

// worstPart returns the standing of the part with the worst state, of several such ones that of the last, which the fewest
// requests share. It also returns how many parts are not free.
func (e *Evidence) worstPart(parts []Fingerprint, now time.Time) (worst Standing, suspects int) {
	for _, part := range parts {
		one := e.standing(part, now)
		if one.State != StateFree {
			suspects++
		}
		if one.State.severity() >= worst.State.severity() {
			worst = one
		}
	}
	return worst, suspects
}
