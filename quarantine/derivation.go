package quarantine

import (
	"maps"
	"slices"
	"time"
)

// derivation holds the subjects that follow from involvements. After a change of the involvements of some fingerprints, only
// these are derived again, and those that may be convicted are compared again if a crash that they share with them differs.
type derivation struct {
	subjects map[Fingerprint]*subject
	crashes  map[Incarnation]*crashLosses
	// candidates are the fingerprints that may be convicted.
	candidates map[Fingerprint]bool
	// repeated are the contents that may explain the crashes of a part.
	repeated map[Fingerprint]bool
	// changed are the fingerprints to be compared again, and changedCrashes the crashes in which others have to be.
	changed        map[Fingerprint]bool
	changedCrashes map[Incarnation]bool
	// work counts the involvements added to subjects, and the comparisons of fingerprints.
	work int
}

// crashLosses is what was lost in one crash.
type crashLosses struct {
	// attempts are those of each fingerprint that were lost.
	attempts map[Fingerprint][]string
	// strongest is the greatest weight of a part, strongestPart that part, and second the greatest one of another part.
	strongestPart     Fingerprint
	strongest, second int
}

func newDerivation() *derivation {
	return &derivation{
		subjects: make(map[Fingerprint]*subject), crashes: make(map[Incarnation]*crashLosses), candidates: make(map[Fingerprint]bool),
		repeated: make(map[Fingerprint]bool),
		changed:  make(map[Fingerprint]bool), changedCrashes: make(map[Incarnation]bool),
	}
}

// derive replaces the involvements of a fingerprint.
func (d *derivation) derive(fingerprint Fingerprint, known *valid) {
	var after *subject
	if len(known.involved) > 0 {
		after = newSubject(known)
		d.work += len(known.involved)
	}
	d.set(fingerprint, known.involved, after)
}

// set replaces the involvements of a fingerprint and the subject that follows from them, which is nil if there are none. The
// subject may be shared with another derivation unless it may be convicted.
func (d *derivation) set(fingerprint Fingerprint, involved []Involvement, after *subject) {
	before := d.subjects[fingerprint]
	d.setAttempts(fingerprint, before, involved, !isSameRival(before, after))
	delete(d.candidates, fingerprint)
	delete(d.repeated, fingerprint)
	if after == nil {
		delete(d.subjects, fingerprint)
		return
	}
	d.subjects[fingerprint] = after
	if after.mayExplainPart() {
		d.repeated[fingerprint] = true
	}
	if after.mayBeConvicted() {
		d.candidates[fingerprint] = true
		d.changed[fingerprint] = true
	}
}

// isSameRival reports whether what is known of a fingerprint before and after a change is the same for all others that share
// the same attempts with it.
func isSameRival(before, after *subject) bool {
	return before != nil && after != nil && before.isPart == after.isPart && before.weight() == after.weight() &&
		before.isSuspicious() == after.isSuspicious()
}

// setAttempts replaces the attempts of a fingerprint in all crashes. Those in which they differ have changed, or all of them.
func (d *derivation) setAttempts(fingerprint Fingerprint, before *subject, involved []Involvement, all bool) {
	attempts := make(map[Incarnation][]string)
	for _, one := range involved {
		attempts[one.Incarnation] = append(attempts[one.Incarnation], one.Attempt)
	}
	if before != nil {
		for _, ended := range before.crashes() {
			if len(attempts[ended]) == 0 {
				d.removeFrom(ended, fingerprint)
			}
		}
	}
	for ended, lost := range attempts {
		known := d.crashes[ended]
		if known == nil {
			known = &crashLosses{attempts: make(map[Fingerprint][]string)}
			d.crashes[ended] = known
		}
		if all || !slices.Equal(known.attempts[fingerprint], lost) {
			d.changedCrashes[ended] = true
		}
		known.attempts[fingerprint] = lost
	}
}

// removeFrom removes a fingerprint from a crash.
func (d *derivation) removeFrom(ended Incarnation, fingerprint Fingerprint) {
	known := d.crashes[ended]
	if known == nil {
		return
	}
	delete(known.attempts, fingerprint)
	d.changedCrashes[ended] = true
	if len(known.attempts) == 0 {
		delete(d.crashes, ended)
	}
}

// compare compares those fingerprints again that may be convicted and for which a crash has changed.
func (d *derivation) compare() {
	for ended := range d.changedCrashes {
		if known := d.crashes[ended]; known != nil {
			d.compareIn(known)
		}
	}
	for fingerprint := range d.changed {
		if d.candidates[fingerprint] {
			d.markRivals(fingerprint)
		}
	}
	clear(d.changedCrashes)
	clear(d.changed)
}

// compareIn finds the strongest parts in a crash, and the fingerprints to be compared with them.
func (d *derivation) compareIn(known *crashLosses) {
	known.strongestPart, known.strongest, known.second = 0, 0, 0
	d.work += len(known.attempts)
	for fingerprint := range known.attempts {
		if d.candidates[fingerprint] {
			d.changed[fingerprint] = true
		}
		one := d.subjects[fingerprint]
		if !one.isPart {
			continue
		}
		switch weight := one.weight(); {
		case weight > known.strongest:
			known.second = known.strongest
			known.strongestPart, known.strongest = fingerprint, weight
		case weight > known.second:
			known.second = weight
		}
	}
}

// markRivals marks the incidents of a fingerprint that others may explain.
func (d *derivation) markRivals(fingerprint Fingerprint) {
	known := d.subjects[fingerprint]
	known.strongestRival = 0
	for _, one := range known.incidents {
		one.hasRivals = one.isolated && slices.ContainsFunc(one.crashes, func(ended Incarnation) bool {
			return d.hasRivals(fingerprint, one, d.crashes[ended])
		})
		for _, ended := range one.crashes {
			d.work++
			known.strongestRival = max(known.strongestRival, d.crashes[ended].strongestBeside(fingerprint))
		}
	}
	if known.isPart && known.weight() >= convictionContents {
		known.strongestRival = max(known.strongestRival, d.strongestContentBeside(known))
	}
}

// strongestContentBeside returns the greatest number of a part's incidents in which one content was lost by attempts that did not
// hold the part.
func (d *derivation) strongestContentBeside(part *subject) int {
	strongest := 0
	for content := range d.repeated {
		shared := 0
		for _, one := range part.incidents {
			if d.isLostBeside(content, one) {
				shared++
			}
		}
		strongest = max(strongest, shared)
	}
	return strongest
}

// isLostBeside reports whether a content was lost in an incident's crashes by an attempt that is not the incident's.
func (d *derivation) isLostBeside(content Fingerprint, one *incident) bool {
	isBeside := func(attempt string) bool { return !slices.Contains(one.attempts, attempt) }
	return slices.ContainsFunc(one.crashes, func(ended Incarnation) bool {
		d.work++
		return slices.ContainsFunc(d.crashes[ended].attempts[content], isBeside)
	})
}

// strongestBeside returns the greatest weight of another part.
func (c *crashLosses) strongestBeside(fingerprint Fingerprint) int {
	if c.strongestPart == fingerprint {
		return c.second
	}
	return c.strongest
}

// hasRivals reports whether another fingerprint may explain an incident, as it was involved in one of its crashes.
func (d *derivation) hasRivals(fingerprint Fingerprint, one *incident, in *crashLosses) bool {
	known := d.subjects[fingerprint]
	for other, attempts := range in.attempts {
		if other == fingerprint {
			continue
		}
		d.work++
		isElsewhere := func(attempt string) bool { return known.byAttempt[attempt] != one }
		if d.subjects[other].isRivalOf(known, !slices.ContainsFunc(attempts, isElsewhere)) {
			return true
		}
	}
	return false
}

// convicted returns the convicted fingerprints.
func (d *derivation) convicted(now time.Time) []Fingerprint {
	var convicted []Fingerprint
	for fingerprint := range d.candidates {
		if d.subjects[fingerprint].state(now) == StateConvicted {
			convicted = append(convicted, fingerprint)
		}
	}
	return convicted
}

// markExplained marks the incidents that convicted fingerprints have caused at all others. They no longer count against
// these, which stay suspects nevertheless: two fingerprints may cause a crash together.
func (d *derivation) markExplained(now time.Time) {
	for fingerprint := range d.candidates {
		for _, one := range d.subjects[fingerprint].incidents {
			one.explained = false
		}
	}
	isConvicted, caused := make(map[Fingerprint]bool), make(map[Incarnation]bool)
	for _, fingerprint := range d.convicted(now) {
		isConvicted[fingerprint] = true
		for _, ended := range d.subjects[fingerprint].crashes() {
			caused[ended] = true
		}
	}
	for fingerprint := range d.candidates {
		if isConvicted[fingerprint] {
			continue
		}
		for _, one := range d.subjects[fingerprint].incidents {
			one.explained = slices.ContainsFunc(one.crashes, func(ended Incarnation) bool { return caused[ended] })
		}
	}
}

// settlesAt returns when the next incident settles that may then convict a fingerprint, or zero if all have.
func (d *derivation) settlesAt(now time.Time) time.Time {
	var next time.Time
	for fingerprint := range d.candidates {
		known := d.subjects[fingerprint]
		for _, one := range known.incidents {
			if settled := one.knownAt.Add(settleTime); settled.After(now) && (one.isolated || known.isPart) {
				next = earlier(next, settled)
			}
		}
	}
	return next
}

// lapsesAt returns when the next conviction of a part ends, or zero if no part is convicted.
func (d *derivation) lapsesAt(now time.Time) time.Time {
	var next time.Time
	for _, fingerprint := range d.convicted(now) {
		if known := d.subjects[fingerprint]; known.isPart {
			next = earlier(next, known.lapsesAt())
		}
	}
	return next
}

// earlier returns the earlier one of two times, of which zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// convictions maps crashes to the convicted fingerprints that explain them, and these to whether they are parts.
type convictions map[Incarnation]map[Fingerprint]bool

// convictions returns the convicted fingerprints that explain each crash.
func (d *derivation) convictions(now time.Time) convictions {
	all := make(convictions)
	for _, fingerprint := range d.convicted(now) {
		known := d.subjects[fingerprint]
		for _, ended := range known.crashes() {
			if all[ended] == nil {
				all[ended] = make(map[Fingerprint]bool)
			}
			all[ended][fingerprint] = known.isPart
		}
	}
	return all
}

// explain reports whether an involvement says nothing, as others have caused the crash. A convicted part explains it to
// all others, and a convicted content to parts only: other contents stay suspects, see markExplained.
func (c convictions) explain(one Involvement) bool {
	convicts := c[one.Incarnation]
	if _, isConvict := convicts[one.Fingerprint]; isConvict {
		return false
	}
	for _, isPart := range convicts {
		if isPart || one.IsPart() {
			return true
		}
	}
	return false
}

// differences returns the crashes that other convictions explain differently.
func (c convictions) differences(other convictions) []Incarnation {
	var differing []Incarnation
	for ended, convicts := range c {
		if !maps.Equal(convicts, other[ended]) {
			differing = append(differing, ended)
		}
	}
	for ended := range other {
		if c[ended] == nil {
			differing = append(differing, ended)
		}
	}
	return differing
}
