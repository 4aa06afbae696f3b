package quarantine

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// reservationLifetime is how long a request may hold reserved endpoints before it reports that
	// it passed or ended; after that it is considered lost and the endpoints are released.
	reservationLifetime = 15 * time.Second
	// suspicionLifetime is how long a fingerprint stays suspect, from the time at which it became
	// suspect or got its last reservation. The arbiter never forgets it while a request holds a
	// reservation. Replicas do not learn which fingerprint a reservation is for and count from the
	// notice of the suspicion only.
	suspicionLifetime = 2 * time.Minute
	// ConvictionLifetime is how long requests with a convicted fingerprint are refused.
	ConvictionLifetime = time.Hour
	// attributionLifetime is how long after a suspect was held responsible for an endpoint's crash
	// further reports of that crash are ignored.
	attributionLifetime = 10 * time.Second
	// massFailureWindow is the time within which crashes are assumed to have a common cause. The
	// arbiter compares the times at which it learned of the crashes. If the crash of an endpoint on
	// which the suspect did not run was reported at most this long before that of the suspect's
	// reserved endpoint, the latter is excused: the suspect is not convicted for it. One crash is
	// excused for each suspect.
	massFailureWindow = 500 * time.Millisecond
	// maxFingerprints bounds the memory. When it is reached, the entry that expires first among
	// those without a reservation is dropped.
	maxFingerprints = 8192
)

// fingerprintState is the arbiter's state of one suspect or convicted fingerprint.
type fingerprintState struct {
	convicted bool
	// crashExcused is set when the crash of a reserved endpoint did not lead to a conviction
	// because other endpoints crashed at the same time. The next crash of a reserved endpoint leads
	// to a conviction in any case.
	crashExcused bool
	// expiresAt is when the fingerprint is forgotten, unless a request holds a reservation then.
	expiresAt time.Time
	// holder is the request that holds the reservation of endpoints, or empty.
	holder    chicoryhall.RequestID
	endpoints []chicoryhall.EndpointID
	// reservationEnd is when the reservation ends even if the holder never reports back.
	reservationEnd time.Time
}

// crash is the crash of one endpoint and the fingerprints that ran on it.
type crash struct {
	at           time.Time
	fingerprints []Fingerprint
}

// Arbiter grants the reservations for suspects and convicts them. It is not safe for concurrent
// use.
type Arbiter struct {
	states map[Fingerprint]*fingerprintState
	// reserved maps an endpoint to the suspect that it is reserved for.
	reserved map[chicoryhall.EndpointID]Fingerprint
	// attributedCrashes maps an endpoint for whose crash a suspect was held responsible to the time
	// until which further reports of that crash are ignored.
	attributedCrashes map[chicoryhall.EndpointID]time.Time
	// crashes holds the crashes within massFailureWindow.
	crashes map[chicoryhall.EndpointID]*crash
	// notice collects the changes made by the current call of Ask.
	notice Notice
}

// NewArbiter returns an Arbiter without suspects.
func NewArbiter() *Arbiter {
	return &Arbiter{
		states:            make(map[Fingerprint]*fingerprintState),
		reserved:          make(map[chicoryhall.EndpointID]Fingerprint),
		attributedCrashes: make(map[chicoryhall.EndpointID]time.Time),
		crashes:           make(map[chicoryhall.EndpointID]*crash),
	}
}

// Ask answers one query and returns the resulting changes, which must be sent to all daemons.
func (a *Arbiter) Ask(query Query, now time.Time) (Answer, Notice) {
	a.notice = Notice{}
	a.expire(now)
	for _, endpoint := range query.Crashed {
		a.handleCrash(query.Fingerprint, endpoint, now)
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

// reserve reserves the queried endpoints for a suspect, unless another request with the same
// fingerprint holds a reservation or one of the endpoints is reserved for another suspect.
func (a *Arbiter) reserve(state *fingerprintState, query Query, now time.Time) Answer {
	if state.holder != "" && state.holder != query.Request {
		return Answer{Decision: DecisionWait}
	}
	if state.holder == query.Request {
		a.release(state)
	}
	for _, endpoint := range query.Endpoints {
		if _, taken := a.reserved[endpoint]; taken {
			return Answer{Decision: DecisionWait, Busy: slices.Sorted(maps.Keys(a.reserved))}
		}
	}
	state.holder = query.Request
	state.endpoints = slices.Clone(query.Endpoints)
	state.reservationEnd = now.Add(reservationLifetime)
	state.expiresAt = now.Add(suspicionLifetime)
	for _, endpoint := range state.endpoints {
		a.reserved[endpoint] = query.Fingerprint
	}
	a.notice.Reserved = append(a.notice.Reserved, state.endpoints...)
	return Answer{Decision: DecisionReserved}
}

// handleCrash handles the report that an endpoint crashed while a request with the fingerprint
// reporter ran on it. A crash that is already attributed to a suspect is ignored. If the endpoint
// is reserved, the crash is attributed to the suspect that it is reserved for. Otherwise the reporter
// becomes a suspect.
func (a *Arbiter) handleCrash(reporter Fingerprint, endpoint chicoryhall.EndpointID, now time.Time) {
	if until, ok := a.attributedCrashes[endpoint]; ok && now.Before(until) {
		return
	}
	a.recordCrash(reporter, endpoint, now)
	if suspect, ok := a.reserved[endpoint]; ok {
		a.recordCrash(suspect, endpoint, now)
		a.attributedCrashes[endpoint] = now.Add(attributionLifetime)
		a.attributeCrash(suspect, now)
		if suspect != reporter {
			return
		}
	}
	a.addSuspect(reporter, now) // Has no effect if the reporter is the suspect itself, which has a state.
}

// addSuspect adds a fingerprint to the suspects unless it is one already or is convicted.
func (a *Arbiter) addSuspect(fingerprint Fingerprint, now time.Time) {
	if a.states[fingerprint] != nil {
		return
	}
	a.evictEarliest()
	a.states[fingerprint] = &fingerprintState{expiresAt: now.Add(suspicionLifetime)}
	a.notice.Suspects = append(a.notice.Suspects, fingerprint)
}

// recordCrash notes that a fingerprint ran on an endpoint that crashed, for unrelatedCrash.
func (a *Arbiter) recordCrash(fingerprint Fingerprint, endpoint chicoryhall.EndpointID, now time.Time) {
	known := a.crashes[endpoint]
	if known == nil {
		known = &crash{at: now}
		a.crashes[endpoint] = known
	}
	known.fingerprints = append(known.fingerprints, fingerprint)
}

// attributeCrash convicts the suspect whose reserved endpoint crashed. If other endpoints crashed
// at the same time, the suspect gets one more attempt instead, but only the first time.
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

// unrelatedCrash reports whether an endpoint on which the suspect did not run crashed within
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
	for _, endpoint := range state.endpoints {
		delete(a.reserved, endpoint)
	}
	a.notice.Released = append(a.notice.Released, state.endpoints...)
	state.holder, state.endpoints = "", nil
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
	maps.DeleteFunc(a.attributedCrashes, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(a.crashes, func(_ chicoryhall.EndpointID, c *crash) bool { return now.Sub(c.at) > massFailureWindow })
}

// evictEarliest drops the suspect or convicted fingerprint that expires first when maxFingerprints
// is reached. Fingerprints that hold a reservation are kept. Unlike in expire, the daemons are not
// notified; their replicas keep the fingerprint until it expires there.
func (a *Arbiter) evictEarliest() {
	if len(a.states) < maxFingerprints {
		return
	}
	var first Fingerprint
	var earliest time.Time
	for fingerprint, state := range a.states {
		if state.holder == "" && (earliest.IsZero() || state.expiresAt.Before(earliest)) {
			first, earliest = fingerprint, state.expiresAt
		}
	}
	delete(a.states, first)
}
