package concurrency

import (
	"math"
	"time"
)

const (
	// growthPeriod is the time between two steps in which a limit rises.
	growthPeriod = 400 * time.Millisecond
	// startShare is the part of the slots that an endpoint gets at its start, but at least minStart requests. startGrowth is the
	// factor of each step from there, if usedShare of the limit was in use: half of the slots are reached in 1.6 s, all in 2.4 s.
	startShare  = 1.0 / 8
	minStart    = 2
	startGrowth = 1.5
	usedShare   = 0.25
	// turnPeriod is how long a daemon's turn lasts at an endpoint that is starting (see turn): it learns of the requests of the
	// others about every 100 ms.
	turnPeriod = 100 * time.Millisecond
	// growthShare is the part of the slots by which a lowered limit rises with each step: all slots are regained in 5 s.
	growthShare = 1.0 / 12
	// minFallInterval is the least time between two falls: the answers to the requests that were in flight at a fall tell nothing
	// of the limit after it. A limit does not rise for that time either.
	minFallInterval = 400 * time.Millisecond
	// lateFactor and failureFactor are those by which a limit falls after late first events and failures, down to lateFloor and
	// failureFloor as parts of the slots. Late first events and failures may have a cause elsewhere in the route, so that they
	// must not take nearly all work from an endpoint.
	lateFactor    = 0.75
	failureFactor = 0.5
	lateFloor     = 1.0 / 8
	failureFloor  = 1.0 / 2
	// refusalFactor bounds a fall after one refusal: the number of requests in flight is known late, and may have been higher.
	refusalFactor = 0.5
	// fullShare is the part of the slots from which on a refusal is no evidence against them: requests of other daemons that are
	// not known yet may have the rest.
	fullShare = 0.75
	// After a fall, the limit does not rise for minKeptTime, unless a first event in time shows that lateness is over. The time
	// doubles with each fall within keptMemory after it, up to maxKeptTime: one of 66 daemons has a request at the same
	// endpoint every 3 s, and would else find out each time anew that it is full.
	minKeptTime = 2 * time.Second
	maxKeptTime = 16 * time.Second
	keptMemory  = 8 * time.Second
	// undoTime is how long after a fall for a failure progress shows that the endpoint had only been held up, so that the fall is
	// taken back.
	undoTime = 2 * time.Second
)

// Flight is what is in flight at an endpoint.
type Flight struct {
	// Slots is the number of requests that the endpoint has room for by its listing, or 0 if it is not known; it then has no
	// limit.
	Slots float64
	// Requests is the number of requests in flight of all daemons, as far as this one knows.
	Requests float64
	// Daemons is the number of daemons that the requests may come from. Busy is set if most slots of the endpoints that may do the
	// same work are in use.
	Daemons int
	Busy    bool
	// Silent is set if this daemon has requests there but has seen no progress for a while. The limit does not rise then.
	Silent bool
}

// phase is what a limit does next.
type phase int

const (
	// phaseNone means that the listed slots are the limit.
	phaseNone phase = iota
	// phaseStarting means that the limit rises by a factor while it is used.
	phaseStarting
	// phaseLowered means that the limit has fallen and rises additively.
	phaseLowered
)

// limit is the limit of one endpoint. Its zero value is that of an endpoint that was in service before this daemon started.
type limit struct {
	phase phase
	value float64
	turn  turn
	// followsOthers is set if the limit rises at once to what the other daemons have in flight.
	followsOthers bool
	// steppedAt is the time up to which value has risen, and peak the most requests in flight since.
	steppedAt time.Time
	peak      float64
	fellAt    time.Time
	// value does not rise until keptUntil. keptTime is how long that was from the last fall, and cause why it fell.
	keptUntil time.Time
	keptTime  time.Duration
	cause     Cause
	// undoUntil is the end of the time in which progress restores undoValue and undoPhase.
	undoUntil time.Time
	undoValue float64
	undoPhase phase
	answers   answers
	// isLow is set while the value counts as low in the changes that are reported.
	isLow bool
}

// start makes the limit that of an endpoint that has started or is out of reach.
func (l *limit) start(slots float64, isListing bool, now time.Time) {
	isLow := l.isLow
	*l = limit{
		phase: phaseStarting, value: math.Min(slots, math.Max(minStart, slots*startShare)), steppedAt: now,
		followsOthers: !isListing, answers: l.answers.restarted(), isLow: isLow,
	}
}

// current returns the limit for this daemon after it has risen up to now, and whether it is strict.
func (l *limit) current(f Flight, random func() float64, now time.Time) (float64, bool) {
	l.advance(f, now)
	switch l.phase {
	case phaseNone:
		return f.Slots, true
	case phaseStarting:
		return math.Min(f.Slots, l.turn.limit(l.value, f, random, now)), true
	case phaseLowered:
	}
	if l.cause == CauseFailure && f.Busy { // The others have no room for what it would not get, and most of that does not fail.
		return f.Slots, true
	}
	return math.Min(f.Slots, l.value), l.cause == CauseRefusal
}

// advance lets the limit rise with the steps that are due.
func (l *limit) advance(f Flight, now time.Time) {
	if l.phase == phaseNone {
		return
	}
	l.peak = math.Max(l.peak, f.Requests)
	steps := int(now.Sub(l.steppedAt) / growthPeriod)
	if steps <= 0 {
		return
	}
	l.steppedAt = l.steppedAt.Add(time.Duration(steps) * growthPeriod)
	if f.Silent || now.Before(l.keptUntil) {
		return
	}
	if l.phase == phaseLowered {
		l.value += float64(steps) * math.Max(f.Slots*growthShare, 0.5)
	} else if l.followsOthers && f.Requests > l.value { // The others reach it, so this daemon or its link was out of order.
		l.value = f.Requests * startGrowth
	} else if l.peak >= usedShare*l.value { // At most one step: what the endpoint can do is not known from a time without a look at it.
		l.value = math.Max(l.value+1, l.value*startGrowth)
	}
	l.peak = f.Requests
	if l.value >= f.Slots {
		l.phase, l.value = phaseNone, 0
	}
}

// base returns the number of requests from which the limit falls: what is in flight, if that is less than the limit.
func (l *limit) base(f Flight) float64 {
	limit := f.Slots
	if l.phase != phaseNone {
		limit = math.Min(limit, l.value)
	}
	return math.Max(1, math.Min(limit, math.Max(f.Requests, limit*failureFactor)))
}

// refused lowers the limit to a bit under what was in flight, which includes the refused request. It reports whether it fell.
func (l *limit) refused(f Flight, now time.Time) bool {
	if f.Requests >= fullShare*f.Slots || now.Sub(l.fellAt) < minFallInterval {
		return false
	}
	base := l.base(f)
	l.fall(CauseRefusal, math.Max(math.Min(base, f.Requests-1), base*refusalFactor), now)
	return true
}

// late lowers the limit after late first events.
func (l *limit) late(f Flight, now time.Time) bool {
	if now.Sub(l.fellAt) < minFallInterval {
		return false
	}
	lowered := math.Max(l.base(f)*lateFactor, f.Slots*lateFloor)
	if l.phase != phaseNone && lowered >= l.value { // At its floor; the answers there still show that it must not rise.
		l.fellAt = now
		l.keep(CauseLate, now)
		return false
	}
	l.fall(CauseLate, lowered, now)
	return true
}

// failed lowers the limit after a failure. If mayBeHeldUp is set, progress soon after takes that back.
func (l *limit) failed(f Flight, mayBeHeldUp bool, now time.Time) bool {
	if now.Sub(l.fellAt) < minFallInterval {
		return false
	}
	lowered := math.Max(l.base(f)*failureFactor, f.Slots*failureFloor)
	if l.phase != phaseNone && lowered >= l.value {
		return false
	}
	undoValue, undoPhase := l.value, l.phase
	l.fall(CauseFailure, lowered, now)
	if mayBeHeldUp {
		l.undoUntil, l.undoValue, l.undoPhase = now.Add(undoTime), undoValue, undoPhase
	}
	return true
}

// fall sets a lower limit.
func (l *limit) fall(cause Cause, value float64, now time.Time) {
	l.keep(cause, now)
	l.phase, l.value = phaseLowered, math.Max(1, value)
	l.fellAt, l.steppedAt, l.peak, l.undoUntil = now, now, 0, time.Time{}
}

// keep keeps the limit from rising for a while.
func (l *limit) keep(cause Cause, now time.Time) {
	kept := minKeptTime
	if !l.keptUntil.IsZero() && now.Sub(l.keptUntil) < keptMemory {
		kept = min(maxKeptTime, 2*l.keptTime)
	}
	l.cause, l.keptUntil, l.keptTime = cause, now.Add(kept), kept
}

// inTime lets a limit rise again that fell as first events were late.
func (l *limit) inTime(now time.Time) {
	l.answers.inTime(now)
	if l.cause == CauseLate {
		l.keptUntil = time.Time{}
	}
}

// progressed takes back a fall for a failure that was none.
func (l *limit) progressed(now time.Time) {
	if now.Before(l.undoUntil) {
		l.phase, l.value = l.undoPhase, l.undoValue
		l.undoUntil, l.fellAt, l.keptUntil = time.Time{}, time.Time{}, time.Time{}
	}
}
