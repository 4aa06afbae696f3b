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
	// adopted is set once the report that an earlier process of this daemon left has been added to the own one.
	adopted bool
	// sources holds what the reports of others contain, and known the involvements that count of each fingerprint.
	sources *sources
	known   map[Fingerprint]*valid
	// all is derived from all involvements, and rest from those that none of the convictions in all explain. Both are brought
	// up to date when they are needed, if changed is set or it is later than staleAt, which is zero if time changes nothing.
	all         *derivation
	rest        *derivation
	convictions convictions
	changed     bool
	staleAt     time.Time
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
		sources: newSources(), known: make(map[Fingerprint]*valid), all: newDerivation(), rest: newDerivation(),
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
		e.sources.touched[e.own.Involved[dropped].Fingerprint] = true
		e.own.Involved = slices.Delete(e.own.Involved, dropped, dropped+1)
	}
	e.own.Involved = append(e.own.Involved, involvement)
	e.sources.touched[involvement.Fingerprint] = true
}

// leastTelling returns the index of the oldest involvement of a fingerprint in a single incident, if there is one, or else of
// one that is not convicted. The caller holds e.mu.
func (e *Evidence) leastTelling(now time.Time) int {
	single := slices.IndexFunc(e.own.Involved, func(one Involvement) bool {
		known := e.rest.subjects[one.Fingerprint]
		return known == nil || len(known.incidents) == 1
	})
	if single >= 0 {
		return single
	}
	return max(0, slices.IndexFunc(e.own.Involved, func(one Involvement) bool { return !e.isConvicted(one.Fingerprint, now) }))
}

func (e *Evidence) isConvicted(fingerprint Fingerprint, now time.Time) bool {
	known := e.rest.subjects[fingerprint]
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
			e.sources.removeCleared(e.own.Cleared[:1])
			e.own.Cleared = e.own.Cleared[1:]
		}
		e.sources.addCleared([]Clearance{cleared})
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
	e.sources.set(sourceID{isAlert: true, daemon: from}, part)
	e.changed = true
}

// Replace replaces the reports of all other daemons by those that were read from the given time on, and drops the alerts
// before. The first call also adds the report that an earlier process of this daemon has left to the own one.
func (e *Evidence) Replace(read map[chicoryhall.DaemonID]Report, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reports := read
	if now.Before(e.mergeUntil) {
		reports = mergeReports(e.others, read)
	}
	e.replaceOthers(reports)
	e.dropAlerts(now)
	if !e.adopted {
		e.adopt(read[e.self], now)
	}
	e.changed = true
}

// adopt adds the report that an earlier process of this daemon has left. The caller holds e.mu.
func (e *Evidence) adopt(report Report, now time.Time) {
	e.adopted = true
	for _, left := range report.Involved {
		if !slices.Contains(e.own.Involved, left) {
			e.addOwn(left, now)
		}
	}
	e.own.Cleared = append(e.own.Cleared, report.Cleared...)
	e.sources.addCleared(report.Cleared)
}

// replaceOthers replaces the reports of the other daemons. The caller holds e.mu.
func (e *Evidence) replaceOthers(reports map[chicoryhall.DaemonID]Report) {
	for daemon := range e.others {
		if _, found := reports[daemon]; !found {
			e.sources.set(sourceID{daemon: daemon}, Report{})
		}
	}
	e.others = maps.Clone(reports)
	delete(e.others, e.self)
	for daemon, report := range e.others {
		e.sources.set(sourceID{daemon: daemon}, report)
	}
}

// dropAlerts drops the alerts until a time. The caller holds e.mu.
func (e *Evidence) dropAlerts(until time.Time) {
	maps.DeleteFunc(e.alerts, func(daemon chicoryhall.DaemonID, one alert) bool {
		if one.at.After(until) {
			return false
		}
		e.sources.set(sourceID{isAlert: true, daemon: daemon}, Report{})
		return true
	})
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
	for _, known := range e.rest.subjects {
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
		if known := e.rest.subjects[one.Fingerprint]; known != nil && known.state(now) != StateFree {
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
		if known := e.rest.subjects[one.Fingerprint]; known != nil {
			lifetime = known.lifetime(now)
		}
		if now.Sub(e.known[one.Fingerprint].since(one, now)) <= lifetime {
			return false
		}
		e.sources.touched[one.Fingerprint] = true
		return true
	})
	e.changed = true
}

// Counts returns the numbers of suspect and of convicted fingerprints.
func (e *Evidence) Counts(now time.Time) (suspects, convicted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.derive(now)
	for _, known := range e.rest.subjects {
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

// derive brings the subjects up to date with the reports, if they may differ. The caller holds e.mu.
func (e *Evidence) derive(now time.Time) {
	if !e.changed && (e.staleAt.IsZero() || now.Before(e.staleAt)) {
		return
	}
	e.changed = false
	touched := e.sources.touched
	e.sources.touched = make(map[Fingerprint]bool)
	e.dropCleared(touched)
	differing := make(map[Fingerprint]bool)
	for fingerprint := range touched {
		if e.collect(fingerprint, now) {
			differing[fingerprint] = true
		}
	}
	e.dropUnneededClearances(touched)
	for fingerprint := range differing {
		e.all.derive(fingerprint, e.known[fingerprint])
	}
	e.all.compare()
	e.explain(differing, now)
	e.rest.compare()
	e.rest.markExplained(now)
	e.staleAt = earlier(e.all.lapsesAt(now), earlier(e.all.settlesAt(now), e.rest.settlesAt(now)))
}

// dropCleared drops this daemon's involvements of some fingerprints that a report withdraws.
func (e *Evidence) dropCleared(touched map[Fingerprint]bool) {
	e.own.Involved = slices.DeleteFunc(e.own.Involved, func(one Involvement) bool {
		return touched[one.Fingerprint] && e.sources.isCleared(one)
	})
}

// collect collects the involvements that count of a fingerprint, this daemon's first, and reports whether they differ from
// those before.
func (e *Evidence) collect(fingerprint Fingerprint, now time.Time) bool {
	before := e.known[fingerprint]
	if before == nil {
		before = &valid{}
	}
	found := &valid{}
	for _, one := range e.own.Involved {
		if one.Fingerprint == fingerprint {
			found.add(one, before.since(one, now))
		}
	}
	for _, holder := range e.sources.holders[fingerprint] {
		for _, one := range holder.involved[fingerprint] {
			if !e.sources.isCleared(one) {
				found.add(one, before.since(one, now))
			}
		}
	}
	e.known[fingerprint] = found
	if len(before.involved)+len(found.involved) == 0 {
		delete(e.known, fingerprint)
	}
	return !slices.Equal(before.involved, found.involved)
}

// explain derives the subjects again that others have to be convicted for, or no longer, and those of the given fingerprints.
func (e *Evidence) explain(differing map[Fingerprint]bool, now time.Time) {
	before := e.convictions
	e.convictions = e.all.convictions(now)
	for _, ended := range before.differences(e.convictions) {
		if known := e.all.crashes[ended]; known != nil {
			for fingerprint := range known.attempts {
				differing[fingerprint] = true
			}
		}
	}
	for fingerprint := range differing {
		e.deriveRest(fingerprint)
	}
}

// deriveRest derives the subject of a fingerprint without the involvements that convictions explain. Where these are none, it
// is the one derived from all involvements, unless that may be convicted: it may have other rivals then.
func (e *Evidence) deriveRest(fingerprint Fingerprint) {
	known, subject := e.known[fingerprint], e.all.subjects[fingerprint]
	left := known.without(e.convictions.explain)
	if left != known || subject != nil && subject.mayBeConvicted() {
		e.rest.derive(fingerprint, left)
	} else {
		e.rest.set(fingerprint, left.involved, subject)
	}
	if len(known.involved) == 0 {
		delete(e.known, fingerprint)
	}
}

// dropUnneededClearances drops this daemon's clearances of some fingerprints' involvements that no report contains any more.
func (e *Evidence) dropUnneededClearances(touched map[Fingerprint]bool) {
	e.own.Cleared = slices.DeleteFunc(e.own.Cleared, func(one Clearance) bool {
		if !touched[one.Fingerprint] || containsCleared(e.own.Involved, one) || e.sources.contains(one) {
			return false
		}
		e.sources.removeCleared([]Clearance{one})
		return true
	})
}
