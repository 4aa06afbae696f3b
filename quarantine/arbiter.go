package quarantine

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// reservationLifetime is how long a suspect may hold its engines without passing; after that its
	// holder is considered lost.
	reservationLifetime = 15 * time.Second
	// suspicionLifetime is how long a suspect is remembered while no request with its fingerprint runs.
	suspicionLifetime = 2 * time.Minute
	// ConvictionLifetime is how long requests with a convicted fingerprint are refused.
	ConvictionLifetime = time.Hour
	// attributedLifetime is how long late reports of a crash that is already attributed to a suspect
	// are ignored.
	attributedLifetime = 10 * time.Second
	// massFailureWindow is how recent the crash of an endpoint on which the suspect did not run must
	// be to suggest a common cause; the crash of the suspect's reserved endpoint is then not counted.
	massFailureWindow = 500 * time.Millisecond
	// maxFingerprints bounds the memory; the suspect that expires first is dropped first.
	maxFingerprints = 8192
)

// fingerprintState is the arbiter's state of one suspect or convicted fingerprint.
type fingerprintState struct {
	convicted bool
	// crashExcused is set when a crash was not counted because other endpoints failed at the same time.
	// This happens once only.
	crashExcused bool
	// expiresAt is when the fingerprint is forgotten, unless a request holds a reservation.
	expiresAt time.Time
	// holder is the request that runs under the reservation of engines, or empty.
	holder  chicoryhall.RequestID
	engines []chicoryhall.EndpointID
	// reservationEnd is when the reservation ends even if the holder never reports back.
	reservationEnd time.Time
}

// crash is the crash of one engine and the fingerprints that ran on it.
type crash struct {
	at           time.Time
	fingerprints []Fingerprint
}

// Arbiter decides which suspects run on which engines. It is not safe for concurrent use.
type Arbiter struct {
	states map[Fingerprint]*fingerprintState
	// reserved maps an engine to the suspect that it is reserved for.
	reserved map[chicoryhall.EndpointID]Fingerprint
	// attributed maps an engine whose crash was attributed to a suspect to the time until which
	// further reports of that crash are ignored.
	attributed map[chicoryhall.EndpointID]time.Time
	crashes    map[chicoryhall.EndpointID]*crash
	// notice collects the changes made by the current call of Ask.
	notice Notice
}

// NewArbiter returns an Arbiter without suspects.
func NewArbiter() *Arbiter {
	return &Arbiter{
		states:     make(map[Fingerprint]*fingerprintState),
		reserved:   make(map[chicoryhall.EndpointID]Fingerprint),
		attributed: make(map[chicoryhall.EndpointID]time.Time),
		crashes:    make(map[chicoryhall.EndpointID]*crash),
	}
}

// Ask answers one query and returns the resulting changes, which must be sent to all daemons.
func (a *Arbiter) Ask(query Query, now time.Time) (Answer, Notice) {
	a.notice = Notice{}
	a.expire(now)
	for _, engine := range query.Crashed {
		a.reportCrash(query.Fingerprint, engine, now)
	}
	if query.Suspect && query.Kind == QueryRun {
		a.addSuspect(query.Fingerprint, now)
	}
	answer := a.answer(query, now)
	return answer, a.notice
}

func (a *Arbiter) answer(query Query, now time.Time) Answer {
	state := a.states[query.Fingerprint]
	if state == nil {
		return Answer{Decision: DecisionFree}
	}
	if state.convicted {
		return Answer{Decision: DecisionRefuse}
	}
	switch query.Kind {
	case QueryRun:
		return a.reserve(state, query, now)
	case QueryPassed:
		if state.holder == query.Request {
			a.clear(query.Fingerprint, state)
		}
	case QueryEnded:
		if state.holder == query.Request {
			a.release(state)
		}
	}
	return Answer{Decision: DecisionFree}
}

// reserve reserves the queried engines for a suspect, unless another request with the same
// fingerprint holds a reservation or one of the engines is reserved for another suspect.
func (a *Arbiter) reserve(state *fingerprintState, query Query, now time.Time) Answer {
	if state.holder != "" && state.holder != query.Request {
		return Answer{Decision: DecisionWait}
	}
	if state.holder == query.Request {
		a.release(state)
	}
	for _, engine := range query.Endpoints {
		if _, taken := a.reserved[engine]; taken {
			return Answer{Decision: DecisionWait, Busy: slices.Sorted(maps.Keys(a.reserved))}
		}
	}
	state.holder = query.Request
	state.engines = slices.Clone(query.Endpoints)
	state.reservationEnd = now.Add(reservationLifetime)
	state.expiresAt = now.Add(suspicionLifetime)
	for _, engine := range state.engines {
		a.reserved[engine] = query.Fingerprint
	}
	a.notice.Reserved = append(a.notice.Reserved, state.engines...)
	return Answer{Decision: DecisionReserved}
}

// reportCrash handles the report that an engine crashed while a request ran on it.
func (a *Arbiter) reportCrash(reporter Fingerprint, engine chicoryhall.EndpointID, now time.Time) {
	if until, ok := a.attributed[engine]; ok && now.Before(until) {
		return
	}
	a.recordCrash(reporter, engine, now)
	if suspect, ok := a.reserved[engine]; ok {
		a.recordCrash(suspect, engine, now)
		a.attributed[engine] = now.Add(attributedLifetime)
		a.attributeCrash(suspect, now)
		if suspect != reporter {
			return
		}
	}
	a.addSuspect(reporter, now)
}

// addSuspect adds a fingerprint to the suspects unless it is one already or is convicted.
func (a *Arbiter) addSuspect(fingerprint Fingerprint, now time.Time) {
	if a.states[fingerprint] != nil {
		return
	}
	a.evictOldest()
	a.states[fingerprint] = &fingerprintState{expiresAt: now.Add(suspicionLifetime)}
	a.notice.Suspects = append(a.notice.Suspects, fingerprint)
}

// recordCrash notes that a fingerprint ran on an engine that crashed.
func (a *Arbiter) recordCrash(reporter Fingerprint, engine chicoryhall.EndpointID, now time.Time) {
	known := a.crashes[engine]
	if known == nil {
		known = &crash{at: now}
		a.crashes[engine] = known
	}
	known.fingerprints = append(known.fingerprints, reporter)
}

// attributeCrash convicts the suspect whose reserved engine crashed. If other engines crashed at the
// same time, the suspect gets one more attempt instead.
func (a *Arbiter) attributeCrash(fingerprint Fingerprint, now time.Time) {
	state := a.states[fingerprint]
	a.release(state)
	if !state.crashExcused && a.unrelatedCrash(fingerprint, now) {
		state.crashExcused = true
		return
	}
	state.convicted = true
	state.expiresAt = now.Add(ConvictionLifetime)
	a.notice.Convicted = append(a.notice.Convicted, fingerprint)
}

// unrelatedCrash reports whether an engine on which the suspect did not run crashed within
// massFailureWindow.
func (a *Arbiter) unrelatedCrash(fingerprint Fingerprint, now time.Time) bool {
	for _, other := range a.crashes {
		if now.Sub(other.at) <= massFailureWindow && !slices.Contains(other.fingerprints, fingerprint) {
			return true
		}
	}
	return false
}

// clear removes a fingerprint from the suspects.
func (a *Arbiter) clear(fingerprint Fingerprint, state *fingerprintState) {
	a.release(state)
	delete(a.states, fingerprint)
	a.notice.Cleared = append(a.notice.Cleared, fingerprint)
}

// release ends a suspect's reservation.
func (a *Arbiter) release(state *fingerprintState) {
	for _, engine := range state.engines {
		delete(a.reserved, engine)
	}
	a.notice.Released = append(a.notice.Released, state.engines...)
	state.holder, state.engines = "", nil
}

// expire removes reservations, suspects, convictions and crashes that have outlived their time.
func (a *Arbiter) expire(now time.Time) {
	for fingerprint, state := range a.states {
		if state.holder != "" && !now.Before(state.reservationEnd) {
			a.release(state)
		}
		if state.holder == "" && !now.Before(state.expiresAt) {
			delete(a.states, fingerprint)
			a.notice.Cleared = append(a.notice.Cleared, fingerprint)
		}
	}
	maps.DeleteFunc(a.attributed, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(a.crashes, func(_ chicoryhall.EndpointID, c *crash) bool { return now.Sub(c.at) > massFailureWindow })
}

// evictOldest drops the fingerprint that expires first when maxFingerprints is reached. Fingerprints
// that hold a reservation are kept.
func (a *Arbiter) evictOldest() {
	if len(a.states) < maxFingerprints {
		return
	}
	var oldest Fingerprint
	var earliest time.Time
	for fingerprint, state := range a.states {
		if state.holder == "" && (earliest.IsZero() || state.expiresAt.Before(earliest)) {
			oldest, earliest = fingerprint, state.expiresAt
		}
	}
	delete(a.states, oldest)
}
