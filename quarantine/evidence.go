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

// Standing is what is known of requests with one fingerprint.
type Standing struct {
	State State
	// Incidents is the number of incidents that the fingerprint was involved in and has not outlived.
	Incidents int
	// Crashes are those of the incidents. A request that starts now and outlives them clears the fingerprint of them.
	Crashes []Incarnation
	// Lifetime is how long the incidents are kept at most.
	Lifetime time.Duration
	// ProvenAt is the position that an answer must reach for this, unless it ends before.
	ProvenAt int64
}

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

// Standing returns what is known of a fingerprint.
func (e *Evidence) Standing(fingerprint Fingerprint, now time.Time) Standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	known := e.subjects[fingerprint]
	if known == nil {
		return Standing{}
	}
	return Standing{
		State: known.state(now), Incidents: len(known.incidents), Crashes: known.crashes(), ProvenAt: known.position + provenEvents,
		Lifetime: known.lifetime(now),
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
		oldest := max(0, slices.IndexFunc(e.own.Involved, func(one Involvement) bool { return !e.isConvicted(one.Fingerprint, now) }))
		e.own.Involved = slices.Delete(e.own.Involved, oldest, oldest+1)
	}
	e.own.Involved = append(e.own.Involved, involvement)
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

// Suspicious returns those of this daemon's involvements that all daemons need to know of: the fingerprint was in more
// than one incident.
func (e *Evidence) Suspicious(now time.Time) []Involvement {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	var suspicious []Involvement
	for _, one := range e.own.Involved {
		if len(e.subjects[one.Fingerprint].incidents) >= suspectIncidents {
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
		return now.Sub(e.knownAt[one]) > e.subjects[one.Fingerprint].lifetime(now)
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
	involvedIn := make(map[Incarnation][]Fingerprint)
	e.subjects, e.staleAt = make(map[Fingerprint]*subject), time.Time{}
	for _, one := range involved {
		known := e.subjects[one.Fingerprint]
		if known == nil {
			known = &subject{}
			e.subjects[one.Fingerprint] = known
		}
		known.incidents = addToIncidents(known.incidents, one, e.knownAt[one])
		known.position = max(known.position, one.Position)
		involvedIn[one.Incarnation] = append(involvedIn[one.Incarnation], one.Fingerprint)
	}
	e.markRivals(involvedIn, now)
	e.markExplained(involvedIn, now)
	e.dropUnneededClearances()
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

// markRivals marks the incidents that other fingerprints were involved in too, and notes when the next isolated incident
// settles.
func (e *Evidence) markRivals(involvedIn map[Incarnation][]Fingerprint, now time.Time) {
	for fingerprint, known := range e.subjects {
		for _, one := range known.incidents {
			one.hasRivals = slices.ContainsFunc(one.crashes, func(crash Incarnation) bool {
				return slices.ContainsFunc(involvedIn[crash], func(rival Fingerprint) bool { return rival != fingerprint })
			})
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
func (e *Evidence) markExplained(involvedIn map[Incarnation][]Fingerprint, now time.Time) {
	convicted := make(map[Fingerprint]bool)
	for fingerprint := range e.subjects {
		convicted[fingerprint] = e.isConvicted(fingerprint, now)
	}
	causedByConvicted := func(crash Incarnation) bool {
		return slices.ContainsFunc(involvedIn[crash], func(one Fingerprint) bool { return convicted[one] })
	}
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
