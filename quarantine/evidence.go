package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxReported bounds the involvements, and the clearances, in one report, so that it fits into one row of a store. The
	// oldest are dropped first, those of convicted fingerprints last.
	maxReported = 100
	// restoreTime is how long daemons may take to write their reports again after the store was restored from a copy.
	restoreTime = 10 * time.Second
)

// Evidence is the knowledge of all daemons on requests that crash endpoints, as far as their reports have arrived. The
// state of a fingerprint follows from the reports alone, in whichever order they arrive. It is safe for concurrent
// use.
type Evidence struct {
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
	subjects map[Fingerprint]*subject
	changed  bool
	staleAt  time.Time
}

// alert is what a daemon has told at the given time, before its report was read again.
type alert struct {
	report Report
	at     time.Time
}

// NewEvidence returns Evidence without any report.
func NewEvidence(self chicoryhall.DaemonID) *Evidence {
	return &Evidence{
		self: self, others: make(map[chicoryhall.DaemonID]Report), alerts: make(map[chicoryhall.DaemonID]alert),
		knownAt: make(map[Involvement]time.Time), subjects: make(map[Fingerprint]*subject),
	}
}

// Record adds an involvement to this daemon's report.
func (e *Evidence) Record(involvement Involvement, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.own.Involved, involvement) {
		return
	}
	e.addOwn(involvement, now)
	e.changed = true
}

// addOwn adds an involvement to this daemon's report. The caller holds e.mu.
func (e *Evidence) addOwn(involvement Involvement, now time.Time) {
	if len(e.own.Involved) >= maxReported {
		dropped := e.leastTelling(now)
		e.own.Involved = slices.Delete(e.own.Involved, dropped, dropped+1)
	}
	e.own.Involved = append(e.own.Involved, involvement)
}

// leastTelling returns the index of the oldest involvement of a fingerprint in a single incident, if there is one, or else of
// one that is not convicted. The caller holds e.mu.
func (e *Evidence) leastTelling(now time.Time) int {
	single := slices.IndexFunc(e.own.Involved, func(one Involvement) bool {
		known := e.subjects[one.Fingerprint]
		return known == nil || len(known.incidents) == 1
	})
	if single >= 0 {
		return single
	}
	return max(0, slices.IndexFunc(e.own.Involved, func(one Involvement) bool { return !e.isConvicted(one.Fingerprint, now) }))
}

func (e *Evidence) isConvicted(fingerprint Fingerprint, now time.Time) bool {
	known := e.subjects[fingerprint]
	return known != nil && known.state(now) == StateConvicted
}

// Clear adds to this daemon's report that requests with a fingerprint have outlived crashes.
func (e *Evidence) Clear(fingerprint Fingerprint, crashes []Incarnation) {
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
func (e *Evidence) Alerted(from chicoryhall.DaemonID, part Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.alerts[from] = alert{report: part, at: now}
	e.changed = true
}

// Replace replaces the reports of all other daemons by those that were read from the given time on, and drops the alerts
// before. The first call also adds the report that an earlier process of this daemon has left to the own one.
func (e *Evidence) Replace(reports map[chicoryhall.DaemonID]Report, now time.Time) {
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
func (e *Evidence) Restored(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mergeUntil = now.Add(restoreTime)
}

// mergeReports returns reports with all that the known and the read ones contain.
func mergeReports(known, read map[chicoryhall.DaemonID]Report) map[chicoryhall.DaemonID]Report {
	merged := make(map[chicoryhall.DaemonID]Report, len(read))
	maps.Copy(merged, read)
	for daemon, before := range known {
		report := read[daemon]
		merged[daemon] = Report{
			Involved: appendMissing(slices.Clone(report.Involved), before.Involved), Cleared: appendMissing(slices.Clone(report.Cleared), before.Cleared),
		}
	}
	return merged
}

// appendMissing appends those items that a slice does not contain.
func appendMissing[T comparable](items, more []T) []T {
	for _, one := range more {
		if !slices.Contains(items, one) {
			items = append(items, one)
		}
	}
	return items
}

// Adopted reports whether Replace has been called, so that Own contains what an earlier process has left.
func (e *Evidence) Adopted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adopted
}

// Own returns this daemon's report.
func (e *Evidence) Own(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	return Report{Involved: slices.Clone(e.own.Involved), Cleared: slices.Clone(e.own.Cleared)}
}

// HasUnsettled reports whether an isolated incident of any fingerprint has become known lately, so that the reports of
// other daemons on it are of interest.
func (e *Evidence) HasUnsettled(now time.Time) bool {
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
func (e *Evidence) Suspicious(now time.Time) []Involvement {
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
func (e *Evidence) Expire(now time.Time) {
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
func (e *Evidence) Counts(now time.Time) (suspects, convicted int) {
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
func (e *Evidence) derive(now time.Time) {
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
	e.subjects, e.staleAt = make(map[Fingerprint]*subject), time.Time{}
	e.addSubjects(involved, now)
	if explaining := e.convictedCrashes(now); len(explaining) > 0 {
		e.subjects, e.staleAt = make(map[Fingerprint]*subject), time.Time{}
		e.addSubjects(slices.DeleteFunc(involved, func(one Involvement) bool { return isExplained(one, explaining[one.Incarnation]) }), now)
	}
	e.dropUnneededClearances()
}

// addSubjects derives the subjects from involvements.
func (e *Evidence) addSubjects(involved []Involvement, now time.Time) {
	involvedIn := make(map[Incarnation][]Involvement)
	for _, one := range involved {
		known := e.subjects[one.Fingerprint]
		if known == nil {
			known = newSubject(one)
			e.subjects[one.Fingerprint] = known
		}
		known.add(one, e.knownAt[one])
		involvedIn[one.Incarnation] = append(involvedIn[one.Incarnation], one)
	}
	e.markRivals(involvedIn, now)
	e.markExplained(involvedIn, now)
}

// convictedCrashes returns the convicted fingerprints that explain each crash, and makes the subjects stale when the
// conviction of a part ends.
func (e *Evidence) convictedCrashes(now time.Time) map[Incarnation][]convict {
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
func isExplained(one Involvement, convicts []convict) bool {
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
func (e *Evidence) reports() []Report {
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
func (e *Evidence) involved() []Involvement {
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
func (e *Evidence) cleared() map[Clearance]bool {
	all := make(map[Clearance]bool)
	for _, report := range e.reports() {
		for _, one := range report.Cleared {
			all[one] = true
		}
	}
	return all
}

// updateKnownAt notes when each involvement became known, and forgets those that are gone.
func (e *Evidence) updateKnownAt(involved []Involvement, now time.Time) {
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

// markRivals marks the incidents that other fingerprints may explain, where that decides, and notes when the next isolated
// incident settles.
func (e *Evidence) markRivals(involvedIn map[Incarnation][]Involvement, now time.Time) {
	for fingerprint, known := range e.subjects {
		decides := known.isPart && known.weight() >= convictionContents
		for _, one := range known.incidents {
			if !one.isolated && !decides {
				continue
			}
			for _, crash := range one.crashes {
				for _, other := range involvedIn[crash] {
					if other.Fingerprint != fingerprint {
						known.compare(one, other, e.subjects[other.Fingerprint])
					}
				}
			}
			if settled := one.knownAt.Add(settleTime); one.isolated && settled.After(now) {
				e.deriveAgainAt(settled)
			}
		}
	}
}

// deriveAgainAt makes the subjects stale at the given time if that is sooner than staleAt.
func (e *Evidence) deriveAgainAt(at time.Time) {
	if e.staleAt.IsZero() || at.Before(e.staleAt) {
		e.staleAt = at
	}
}

// markExplained marks the incidents that convicted fingerprints have caused at all others. They no longer count against
// these, which stay suspects nevertheless: two fingerprints may cause a crash together.
func (e *Evidence) markExplained(involvedIn map[Incarnation][]Involvement, now time.Time) {
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
func (e *Evidence) dropUnneededClearances() {
	involved := make(map[Clearance]bool)
	for _, one := range e.involved() {
		involved[Clearance{Fingerprint: one.Fingerprint, Incarnation: one.Incarnation}] = true
	}
	e.own.Cleared = slices.DeleteFunc(e.own.Cleared, func(one Clearance) bool { return !involved[one] })
}
