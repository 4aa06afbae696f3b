package quarantine

import (
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// reservationLifetime is how long a suspect may take to pass; then its holder is taken for lost.
	reservationLifetime = 15 * time.Second
	// suspicionLifetime is how long a suspect that nobody runs is remembered.
	suspicionLifetime = 2 * time.Minute
	// ConvictionLifetime is how long repeats of a convicted request are refused.
	ConvictionLifetime = time.Hour
	// explainedLifetime is how long late reports of an explained crash are recognised.
	explainedLifetime = 10 * time.Second
	// massFailureWindow is the time within which another endpoint's loss, on which the suspect did
	// not run, makes the suspect's second crash doubtful.
	massFailureWindow = 500 * time.Millisecond
	// maxCases bounds the memory; the oldest suspicion is dropped first.
	maxCases = 8192
)

// suspicion is what is known of one fingerprint.
type suspicion struct {
	convicted bool
	// doubted tells that one crash was not counted because other endpoints failed too.
	doubted bool
	until   time.Time
	// holder is the request that runs under a reservation of engines, or empty.
	holder  chicoryhall.RequestID
	engines []chicoryhall.EndpointID
	// reservedUntil ends the reservation of a lost holder.
	reservedUntil time.Time
}

// crash is one engine's latest crash and the fingerprints that ran on it.
type crash struct {
	at        time.Time
	reporters []Fingerprint
}

// Arbiter decides which suspects run where; it is for one goroutine at a time.
type Arbiter struct {
	cases map[Fingerprint]*suspicion
	// reserved gives the suspect that runs on an engine.
	reserved map[chicoryhall.EndpointID]Fingerprint
	// explained are crashes that have led to a verdict.
	explained map[chicoryhall.EndpointID]time.Time
	crashes   map[chicoryhall.EndpointID]*crash
	notice    Notice
}

// NewArbiter returns an Arbiter that suspects nobody.
func NewArbiter() *Arbiter {
	return &Arbiter{
		cases:     make(map[Fingerprint]*suspicion),
		reserved:  make(map[chicoryhall.EndpointID]Fingerprint),
		explained: make(map[chicoryhall.EndpointID]time.Time),
		crashes:   make(map[chicoryhall.EndpointID]*crash),
	}
}

// Ask answers one ask and returns what all daemons must hear of it.
func (a *Arbiter) Ask(ask Ask, now time.Time) (Answer, Notice) {
	a.notice = Notice{}
	a.expire(now)
	for _, engine := range ask.Crashed {
		a.crashed(ask.Fingerprint, engine, now)
	}
	if ask.Suspect && ask.Kind == AskRun {
		a.suspect(ask.Fingerprint, now)
	}
	answer := a.answer(ask, now)
	return answer, a.notice
}

func (a *Arbiter) answer(ask Ask, now time.Time) Answer {
	c := a.cases[ask.Fingerprint]
	if c == nil {
		return Answer{Decision: DecisionFree}
	}
	if c.convicted {
		return Answer{Decision: DecisionRefuse}
	}
	switch ask.Kind {
	case AskRun:
		return a.reserve(c, ask, now)
	case AskPassed:
		if c.holder == ask.Request {
			a.clear(ask.Fingerprint, c)
		}
	case AskEnded:
		if c.holder == ask.Request {
			a.release(c)
		}
	}
	return Answer{Decision: DecisionFree}
}

// reserve gives a suspect its engines unless it runs elsewhere or other suspects run on them.
func (a *Arbiter) reserve(c *suspicion, ask Ask, now time.Time) Answer {
	if c.holder != "" && c.holder != ask.Request {
		return Answer{Decision: DecisionWait}
	}
	if c.holder == ask.Request {
		a.release(c)
	}
	for _, engine := range ask.Engines {
		if _, taken := a.reserved[engine]; taken {
			return Answer{Decision: DecisionWait, Busy: slices.Sorted(maps.Keys(a.reserved))}
		}
	}
	c.holder = ask.Request
	c.engines = slices.Clone(ask.Engines)
	c.reservedUntil = now.Add(reservationLifetime)
	c.until = now.Add(suspicionLifetime)
	for _, engine := range c.engines {
		a.reserved[engine] = ask.Fingerprint
	}
	a.notice.Reserved = append(a.notice.Reserved, c.engines...)
	return Answer{Decision: DecisionReserved}
}

// crashed takes in that an engine crashed while a request was on it.
func (a *Arbiter) crashed(reporter Fingerprint, engine chicoryhall.EndpointID, now time.Time) {
	if until, ok := a.explained[engine]; ok && now.Before(until) {
		return
	}
	a.record(reporter, engine, now)
	if suspect, ok := a.reserved[engine]; ok {
		a.record(suspect, engine, now)
		a.explained[engine] = now.Add(explainedLifetime)
		a.verdict(suspect, now)
		if suspect != reporter {
			return
		}
	}
	a.suspect(reporter, now)
}

// suspect takes down a fingerprint that is not known yet.
func (a *Arbiter) suspect(fingerprint Fingerprint, now time.Time) {
	if a.cases[fingerprint] != nil {
		return
	}
	a.makeRoom()
	a.cases[fingerprint] = &suspicion{until: now.Add(suspicionLifetime)}
	a.notice.Suspects = append(a.notice.Suspects, fingerprint)
}

// record takes down who ran on a crashed engine.
func (a *Arbiter) record(reporter Fingerprint, engine chicoryhall.EndpointID, now time.Time) {
	known := a.crashes[engine]
	if known == nil {
		known = &crash{at: now}
		a.crashes[engine] = known
	}
	known.reporters = append(known.reporters, reporter)
}

// verdict convicts the suspect whose reserved engine crashed; while other engines fail too it is
// given one more try.
func (a *Arbiter) verdict(fingerprint Fingerprint, now time.Time) {
	c := a.cases[fingerprint]
	a.release(c)
	if !c.doubted && a.othersFail(fingerprint, now) {
		c.doubted = true
		return
	}
	c.convicted = true
	c.until = now.Add(ConvictionLifetime)
	a.notice.Convicted = append(a.notice.Convicted, fingerprint)
}

// othersFail reports whether an engine on which the suspect did not run has just crashed.
func (a *Arbiter) othersFail(fingerprint Fingerprint, now time.Time) bool {
	for _, other := range a.crashes {
		if now.Sub(other.at) <= massFailureWindow && !slices.Contains(other.reporters, fingerprint) {
			return true
		}
	}
	return false
}

func (a *Arbiter) clear(fingerprint Fingerprint, c *suspicion) {
	a.release(c)
	delete(a.cases, fingerprint)
	a.notice.Cleared = append(a.notice.Cleared, fingerprint)
}

// release gives up a suspect's reservation.
func (a *Arbiter) release(c *suspicion) {
	for _, engine := range c.engines {
		delete(a.reserved, engine)
	}
	a.notice.Released = append(a.notice.Released, c.engines...)
	c.holder, c.engines = "", nil
}

// expire forgets what is old.
func (a *Arbiter) expire(now time.Time) {
	for fingerprint, c := range a.cases {
		if c.holder != "" && !now.Before(c.reservedUntil) {
			a.release(c)
		}
		if c.holder == "" && !now.Before(c.until) {
			delete(a.cases, fingerprint)
			a.notice.Cleared = append(a.notice.Cleared, fingerprint)
		}
	}
	maps.DeleteFunc(a.explained, func(_ chicoryhall.EndpointID, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(a.crashes, func(_ chicoryhall.EndpointID, c *crash) bool { return now.Sub(c.at) > massFailureWindow })
}

// makeRoom drops the suspicion that ends first when there are too many.
func (a *Arbiter) makeRoom() {
	if len(a.cases) < maxCases {
		return
	}
	var oldest Fingerprint
	var until time.Time
	for fingerprint, c := range a.cases {
		if c.holder == "" && (until.IsZero() || c.until.Before(until)) {
			oldest, until = fingerprint, c.until
		}
	}
	delete(a.cases, oldest)
}
