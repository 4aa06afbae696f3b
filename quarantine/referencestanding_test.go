package quarantine

import (
	"slices"
	"time"
)

// Began returns what an answer that begins now withdraws once it has gone on beyond its beginning. As a part may be the
// cause although not each request with it crashes an endpoint, that is one incident for each part, or half of them if the
// request runs in a trial. An incident that is the only one counts against nobody, so it is withdrawn only by the daemon
// that has reported it.
func (e *reference) Began(parts []Fingerprint, isTrial bool, now time.Time) []Clearance {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	if len(e.subjects) == 0 {
		return nil
	}
	var withdrawn []Clearance
	for _, part := range parts {
		known := e.subjects[part]
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
func (e *reference) isOwn(fingerprint Fingerprint, one *referenceIncident) bool {
	return slices.ContainsFunc(e.own.Involved, func(reported Involvement) bool {
		return reported.Fingerprint == fingerprint && slices.Contains(one.crashes, reported.Incarnation)
	})
}

// Standing returns what is known of a fingerprint.
func (e *reference) Standing(fingerprint Fingerprint, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	return e.standing(fingerprint, now)
}

// ContentStanding returns what is known of a content. Its worst part decides if its state is worse than that of the whole
// content, or both are suspect: trials of the part show more.
func (e *reference) ContentStanding(content Content, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	standing := e.standing(content.Whole, now)
	if len(e.subjects) == 0 {
		return standing
	}
	part, suspects := e.worstPart(content.Parts, now)
	if part.State == StateFree || part.State.severity() < standing.State.severity() {
		return standing
	}
	part.Crashes, part.ProvenAt, part.ProvenAfter = standing.Crashes, standing.ProvenAt, standing.ProvenAfter
	lastCrash := e.subjects[part.Subject].lastKnownAt()
	part.Blocked = part.State == StateSuspect && suspects > 1 && now.Sub(lastCrash) < jointTrialPause
	return part
}

// standing returns what is known of a fingerprint. The caller holds e.mu.
func (e *reference) standing(fingerprint Fingerprint, now time.Time) Standing {
	known := referenceStandingOf(e.subjects[fingerprint], fingerprint, now)
	if known.State == StateFree && e.staysSuspect(fingerprint) {
		known = referenceStandingOf(e.all[fingerprint], fingerprint, now)
		known.State = StateSuspect
	}
	return known
}

// staysSuspect reports whether a fingerprint is still a suspect although convicted parts explain its incidents. The caller holds
// e.mu.
func (e *reference) staysSuspect(fingerprint Fingerprint) bool {
	all, rest := e.all[fingerprint], e.subjects[fingerprint]
	if all == nil || !all.isPart {
		return all != nil && len(all.incidents) >= convictionIncidents
	}
	isIsolated := func(one *referenceIncident) bool { return one.isolated }
	return rest != nil && slices.ContainsFunc(rest.incidents, isIsolated) && all.weight() >= suspectContents
}

func referenceStandingOf(known *referenceSubject, fingerprint Fingerprint, now time.Time) Standing {
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
func (e *reference) worstPart(parts []Fingerprint, now time.Time) (worst Standing, suspects int) {
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
