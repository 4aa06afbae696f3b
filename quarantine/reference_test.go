package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

// reference is Evidence that derives all subjects from all reports after each change.
type reference struct {
	self chicoryhall.DaemonID

	mu     sync.Mutex
	own    Report
	others map[chicoryhall.DaemonID]Report
	alerts map[chicoryhall.DaemonID]alert
	// mergeUntil is until when a read adds to what is known, as reports may be older than those read before.
	mergeUntil time.Time
	knownAt    map[Involvement]time.Time
	// adopted is set once the report that an earlier process of this daemon left has been added to the own one.
	adopted bool
	// subjects holds what is known of each fingerprint. It is derived from the reports when it is needed, if changed is
	// set or it is later than staleAt, which is zero if time changes nothing.
	subjects map[Fingerprint]*referenceSubject
	changed  bool
	staleAt  time.Time
	// all are the subjects without regard to what convicted parts explain.
	all map[Fingerprint]*referenceSubject
	// work counts the involvements added to subjects, and the comparisons of fingerprints.
	work int
}

// newReference returns reference without any report.
func newReference(self chicoryhall.DaemonID) *reference {
	return &reference{
		self: self, others: make(map[chicoryhall.DaemonID]Report), alerts: make(map[chicoryhall.DaemonID]alert),
		knownAt: make(map[Involvement]time.Time), subjects: make(map[Fingerprint]*referenceSubject),
	}
}

// Record adds an involvement to this daemon's report.
func (e *reference) Record(involvement Involvement, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.own.Involved, involvement) {
		return
	}
	e.addOwn(involvement, now)
	e.changed = true
}

// addOwn adds an involvement to this daemon's report. The caller holds e.mu.
func (e *reference) addOwn(involvement Involvement, now time.Time) {
	if len(e.own.Involved) >= maxReported {
		dropped := e.leastTelling(now)
		e.own.Involved = slices.Delete(e.own.Involved, dropped, dropped+1)
	}
	e.own.Involved = append(e.own.Involved, involvement)
}

// leastTelling returns the index of the oldest involvement of a fingerprint in a single incident, if there is one, or else of
// one that is not convicted. The caller holds e.mu.
func (e *reference) leastTelling(now time.Time) int {
	single := slices.IndexFunc(e.own.Involved, func(one Involvement) bool {
		known := e.subjects[one.Fingerprint]
		return known == nil || len(known.incidents) == 1
	})
	if single >= 0 {
		return single
	}
	return max(0, slices.IndexFunc(e.own.Involved, func(one Involvement) bool { return !e.isConvicted(one.Fingerprint, now) }))
}

func (e *reference) isConvicted(fingerprint Fingerprint, now time.Time) bool {
	known := e.subjects[fingerprint]
	return known != nil && known.state(now) == StateConvicted
}

// Clear adds to this daemon's report that requests with a fingerprint have outlived crashes.
func (e *reference) Clear(fingerprint Fingerprint, crashes []Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, crash := range crashes {
		cleared := Clearance{Fingerprint: fingerprint, Incarnation: crash}
		if slices.Contains(e.own.Cleared, cleared) {
			continue
		}
		if len(e.own.Cleared) >= maxReported {
			e.own.Cleared = e.own.Cleared[1:]
		}
		e.own.Cleared = append(e.own.Cleared, cleared)
	}
	e.changed = true
}

// Alerted adds the part of another daemon's report that it has alerted this one of. It replaces what an earlier alert of
// that daemon has added.
func (e *reference) Alerted(from chicoryhall.DaemonID, part Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alerts[from] = alert{report: part, at: now}
	e.changed = true
}

// Replace replaces the reports of all other daemons by those that were read from the given time on, and drops the alerts
// before. The first call also adds the report that an earlier process of this daemon has left to the own one.
func (e *reference) Replace(reports map[chicoryhall.DaemonID]Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.mergeUntil) {
		e.others = mergeReports(e.others, reports)
	} else {
		e.others = maps.Clone(reports)
	}
	delete(e.others, e.self)
	maps.DeleteFunc(e.alerts, func(_ chicoryhall.DaemonID, one alert) bool { return !one.at.After(now) })
	if !e.adopted {
		e.adopted = true
		for _, left := range reports[e.self].Involved {
			if !slices.Contains(e.own.Involved, left) {
				e.addOwn(left, now)
			}
		}
		e.own.Cleared = append(e.own.Cleared, reports[e.self].Cleared...)
	}
	e.changed = true
}

// Restored records that the reports in the store have returned to an earlier state. For restoreTime the daemons write theirs
// again, and Replace forgets nothing.
func (e *reference) Restored(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mergeUntil = now.Add(restoreTime)
}

// Adopted reports whether Replace has been called, so that Own contains what an earlier process has left.
func (e *reference) Adopted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adopted
}

// Own returns this daemon's report.
func (e *reference) Own(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	return Report{Involved: slices.Clone(e.own.Involved), Cleared: slices.Clone(e.own.Cleared)}
}

// HasUnsettled reports whether an isolated incident of any fingerprint has become known lately, so that the reports of
// other daemons on it are of interest.
func (e *reference) HasUnsettled(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	for _, known := range e.subjects {
		if known.state(now) == StateUnsettled {
			return true
		}
	}
	return false
}

// Suspicious returns those of this daemon's involvements that all daemons need to know of: the fingerprint is not free.
func (e *reference) Suspicious(now time.Time) []Involvement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	var suspicious []Involvement
	for _, one := range e.own.Involved {
		if known := e.subjects[one.Fingerprint]; known != nil && known.state(now) != StateFree {
			suspicious = append(suspicious, one)
		}
	}
	return suspicious
}

// Expire drops the involvements of this daemon that are too old.
func (e *reference) Expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	e.own.Involved = slices.DeleteFunc(e.own.Involved, func(one Involvement) bool {
		lifetime := InvolvementLifetime
		if known := e.subjects[one.Fingerprint]; known != nil {
			lifetime = known.lifetime(now)
		}
		return now.Sub(e.knownAt[one]) > lifetime
	})
	e.changed = true
}

// Counts returns the numbers of suspect and of convicted fingerprints.
func (e *reference) Counts(now time.Time) (suspects, convicted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	for _, known := range e.subjects {
		switch known.state(now) {
		case StateConvicted:
			convicted++
		case StateSuspect, StateUnsettled:
			suspects++
		case StateFree:
		}
	}
	return suspects, convicted
}

// derive derives the subjects from the reports, if they may differ from the present ones. The caller holds e.mu.
func (e *reference) derive(now time.Time) {
	if !e.changed && (e.staleAt.IsZero() || now.Before(e.staleAt)) {
		return
	}
	e.changed = false
	cleared := e.cleared()
	isCleared := func(one Involvement) bool {
		return cleared[Clearance{Fingerprint: one.Fingerprint, Incarnation: one.Incarnation}]
	}
	e.own.Involved = slices.DeleteFunc(e.own.Involved, isCleared)
	involved := slices.DeleteFunc(e.involved(), isCleared)
	e.updateKnownAt(involved, now)
	e.subjects, e.staleAt = make(map[Fingerprint]*referenceSubject), time.Time{}
	e.addSubjects(involved, now)
	e.all = e.subjects
	if explaining := e.convictedCrashes(now); len(explaining) > 0 {
		e.subjects = make(map[Fingerprint]*referenceSubject)
		e.addSubjects(slices.DeleteFunc(involved, func(one Involvement) bool { return isExplainedIn(one, explaining[one.Incarnation]) }), now)
	}
	e.dropUnneededClearances()
}

// addSubjects derives the subjects from involvements.
func (e *reference) addSubjects(involved []Involvement, now time.Time) {
	involvedIn := make(map[Incarnation][]Involvement)
	for _, one := range involved {
		known := e.subjects[one.Fingerprint]
		if known == nil {
			known = newReferenceSubject(one)
			e.subjects[one.Fingerprint] = known
		}
		e.work++
		known.add(one, e.knownAt[one])
		involvedIn[one.Incarnation] = append(involvedIn[one.Incarnation], one)
	}
	e.markRivals(involvedIn, now)
	e.markExplained(involvedIn, now)
}

// convictedCrashes returns the convicted fingerprints that explain each crash, and makes the subjects stale when the
// conviction of a part ends.
func (e *reference) convictedCrashes(now time.Time) map[Incarnation][]convict {
	explaining := make(map[Incarnation][]convict)
	for fingerprint, known := range e.subjects {
		if known.state(now) != StateConvicted {
			continue
		}
		if known.isPart {
			e.deriveAgainAt(known.lapsesAt())
		}
		for _, crash := range known.crashes() {
			explaining[crash] = append(explaining[crash], convict{fingerprint: fingerprint, isPart: known.isPart})
		}
	}
	return explaining
}

// convict is a convicted fingerprint.
type convict struct {
	fingerprint Fingerprint
	isPart      bool
}

// isExplained reports whether an involvement says nothing, as others have caused the crash. A convicted part explains it to
// all others, and a convicted content to parts only: other contents stay suspects, see markExplained.
func isExplainedIn(one Involvement, convicts []convict) bool {
	others := false
	for _, c := range convicts {
		if c.fingerprint == one.Fingerprint {
			return false
		}
		others = others || c.isPart || one.IsPart()
	}
	return others
}

// reports returns the reports of all daemons in a fixed order, this one's first, and then the alerts.
func (e *reference) reports() []Report {
	all := []Report{e.own}
	for _, daemon := range slices.Sorted(maps.Keys(e.others)) {
		all = append(all, e.others[daemon])
	}
	for _, daemon := range slices.Sorted(maps.Keys(e.alerts)) {
		all = append(all, e.alerts[daemon].report)
	}
	return all
}

// involved returns the involvements of all reports, each once.
func (e *reference) involved() []Involvement {
	var all []Involvement
	known := make(map[Involvement]bool)
	for _, report := range e.reports() {
		for _, one := range report.Involved {
			if !known[one] {
				known[one] = true
				all = append(all, one)
			}
		}
	}
	return all
}

// cleared returns the clearances of all reports.
func (e *reference) cleared() map[Clearance]bool {
	all := make(map[Clearance]bool)
	for _, report := range e.reports() {
		for _, one := range report.Cleared {
			all[one] = true
		}
	}
	return all
}

// updateKnownAt notes when each involvement became known, and forgets those that are gone.
func (e *reference) updateKnownAt(involved []Involvement, now time.Time) {
	before := e.knownAt
	e.knownAt = make(map[Involvement]time.Time, len(involved))
	for _, one := range involved {
		at, known := before[one]
		if !known {
			at = now
		}
		e.knownAt[one] = at
	}
}

// markRivals marks the incidents that other fingerprints may explain, where that decides, and notes when the next of these
// incidents settles.
func (e *reference) markRivals(involvedIn map[Incarnation][]Involvement, now time.Time) {
	for fingerprint, known := range e.subjects {
		decides := known.isPart && known.weight() >= convictionContents
		for _, one := range known.incidents {
			if !one.isolated && !decides {
				continue
			}
			for _, crash := range one.crashes {
				for _, other := range involvedIn[crash] {
					if other.Fingerprint != fingerprint {
						e.work++
						known.compare(one, other, e.subjects[other.Fingerprint])
					}
				}
			}
			if settled := one.knownAt.Add(settleTime); settled.After(now) {
				e.deriveAgainAt(settled)
			}
		}
	}
}

// deriveAgainAt makes the subjects stale at the given time if that is sooner than staleAt.
func (e *reference) deriveAgainAt(at time.Time) {
	if e.staleAt.IsZero() || at.Before(e.staleAt) {
		e.staleAt = at
	}
}

// markExplained marks the incidents that convicted fingerprints have caused at all others. They no longer count against
// these, which stay suspects nevertheless: two fingerprints may cause a crash together.
func (e *reference) markExplained(involvedIn map[Incarnation][]Involvement, now time.Time) {
	convicted := make(map[Fingerprint]bool)
	for fingerprint := range e.subjects {
		if e.isConvicted(fingerprint, now) {
			convicted[fingerprint] = true
		}
	}
	if len(convicted) == 0 {
		return
	}
	caused := make(map[Incarnation]bool)
	for crash, involved := range involvedIn {
		caused[crash] = slices.ContainsFunc(involved, func(one Involvement) bool { return convicted[one.Fingerprint] })
	}
	causedByConvicted := func(crash Incarnation) bool { return caused[crash] }
	for fingerprint, known := range e.subjects {
		for _, one := range known.incidents {
			one.explained = !convicted[fingerprint] && slices.ContainsFunc(one.crashes, causedByConvicted)
		}
	}
}

// dropUnneededClearances drops this daemon's clearances of involvements that no report contains any more.
func (e *reference) dropUnneededClearances() {
	involved := make(map[Clearance]bool)
	for _, one := range e.involved() {
		involved[Clearance{Fingerprint: one.Fingerprint, Incarnation: one.Incarnation}] = true
	}
	e.own.Cleared = slices.DeleteFunc(e.own.Cleared, func(one Clearance) bool { return !involved[one] })
}
