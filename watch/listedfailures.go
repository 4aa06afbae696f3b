package watch

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// failureLifetime is how long after a failure this daemon tells others of it, and how old a report may be.
	failureLifetime = time.Second
	// maxWeakSuspicion bounds the suspicion by reports and by refusals whose cause is not certain: the endpoint may be healthy.
	maxWeakSuspicion = time.Second
	// trialHeadStart is the time that the daemon with the latest failure has to try the endpoint again and to tell the result: a
	// period of the exchange, and a call.
	trialHeadStart = 150 * time.Millisecond
	// After it, the other daemons of a failure domain try the endpoint within trialSpreadPerDaemon times their number, so that
	// only a few do before they are told of the first ones' failures. The time is at least minTrialSpread and at most maxTrialSpread.
	trialSpreadPerDaemon = 20 * time.Millisecond
	minTrialSpread       = 100 * time.Millisecond
	maxTrialSpread       = time.Second
	// linkProofAge is how long ago progress at any endpoint shows that this daemon's own link works. Without such progress, silence
	// is not told: a daemon whose link is cut, or that was held up, finds all endpoints silent.
	linkProofAge = 500 * time.Millisecond
	// withdrawalMargin is how much younger than failureLifetime a failure has to be for its absence from a report to mean that it
	// was withdrawn: daemons estimate its age differently, by the time of a call.
	withdrawalMargin = 300 * time.Millisecond
)

// weakSuspicion is a suspicion by reports of other daemons, or by refusals whose cause is not certain. The endpoint remains a last
// resort.
type weakSuspicion struct {
	// failures counts the consecutive failures, the last of which was at lastFailure.
	failures    int
	lastFailure time.Time
	until       time.Time
	// reportedAt is when the last reported failure was, or zero. It may differ from lastFailure if there are several.
	reportedAt time.Time
}

// add counts a failure, after which the endpoint is suspect for a time that doubles with each one, and for delay beyond that. Those
// within half a trialTime of each other count as one.
func (s *weakSuspicion) add(at time.Time, delay time.Duration) {
	if at.Sub(s.lastFailure) > maxSuspicion {
		s.failures = 0
	}
	if s.failures == 0 || at.Sub(s.lastFailure) >= trialTime/2 {
		s.failures++
		s.lastFailure = at
	}
	until := at.Add(min(maxWeakSuspicion, minSuspicion<<min(s.failures-1, 8)) + delay) // Bounded to avoid an overflow.
	if until.After(s.until) {
		s.until = until
	}
}

// report counts a reported failure. It returns false if that one was reported before: estimates of its time differ by what calls
// take.
func (s *weakSuspicion) report(at time.Time, delay time.Duration) bool {
	if !s.reportedAt.IsZero() && at.Sub(s.reportedAt) < trialTime/2 {
		return false
	}
	s.reportedAt = at
	s.add(at, delay)
	return true
}

// begin makes the first request after a suspicion a trial, during which the endpoint gets no other one.
func (s *weakSuspicion) begin(now time.Time) {
	switch {
	case s.failures == 0 || now.Before(s.until):
	case now.Sub(s.lastFailure) > maxSuspicion:
		*s = weakSuspicion{}
	default:
		s.until = now.Add(trialTime)
	}
}

// mayBeWithdrawn reports whether a report still stands that is too young to have expired.
func (s *weakSuspicion) mayBeWithdrawn(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < failureLifetime-withdrawalMargin
}

// isWeaklySuspect reports whether the endpoint is suspect, but only by weak evidence.
func (e *listedEntry) isWeaklySuspect(now time.Time) bool {
	return e.state(now) == chicoryhall.EndpointSuspect && !now.Before(e.suspectUntil)
}

// noteFailure records an observation that is to be told to other daemons, and reports whether it is one. The caller holds l.mu.
func (l *ListedEndpoints) noteFailure(e *listedEntry, observed chicoryhall.Observation, now time.Time) bool {
	switch observed {
	case chicoryhall.ObservedUnavailable:
		if now.Sub(e.failedAt) < trialTime/2 {
			return false
		}
	case chicoryhall.ObservedRefusedConnection:
		if !e.lastFailure.Equal(now) {
			return false
		}
	case chicoryhall.ObservedSilence, chicoryhall.ObservedBrokenConnection, chicoryhall.ObservedSlow:
		if !e.lastFailure.Equal(now) || now.Sub(l.progressAt) > linkProofAge {
			return false
		}
	default:
		return false
	}
	e.failedAt = now
	return true
}

// notifyFailure calls the subscribers of failures.
func (l *ListedEndpoints) notifyFailure() {
	l.mu.Lock()
	subscribers := l.failureSubscribers
	l.mu.Unlock()
	for _, failed := range subscribers {
		failed()
	}
}

// SubscribeFailures registers a function that is called when there is a new failure to tell other daemons of. It must not block.
func (l *ListedEndpoints) SubscribeFailures(failed func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failureSubscribers = append(l.failureSubscribers, failed)
}

// Failures returns the endpoints that have failed by this daemon's own traffic within failureLifetime, and shown no progress since.
func (l *ListedEndpoints) Failures() []chicoryhall.EndpointFailure {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var failures []chicoryhall.EndpointFailure
	for id, e := range l.entries {
		if age := now.Sub(e.failedAt); !e.gone && !e.failedAt.IsZero() && age <= failureLifetime {
			failures = append(failures, chicoryhall.EndpointFailure{Endpoint: id, Incarnation: e.listing.Incarnation, Age: age})
		}
	}
	return failures
}

// ReportFailures applies all failures that other daemons tell of now, at most one of each endpoint. An endpoint becomes suspect,
// unless this daemon has seen progress there since, or its own failure there is the later one: it is then the first one to
// try the endpoint again. A failure that is told no more, and is too young to have expired, has been withdrawn. ReportFailures
// returns how many failures are new, and the endpoints that work by this daemon's traffic, with the time since their progress.
func (l *ListedEndpoints) ReportFailures(reported []chicoryhall.EndpointFailure) (heard int, working []chicoryhall.EndpointFailure) {
	now := l.config.Timer.Now()
	standing := make(map[chicoryhall.EndpointID]time.Time, len(reported))
	l.mu.Lock()
	for _, failure := range reported {
		e, known := l.entries[failure.Endpoint]
		if !known || e.gone || failure.Incarnation != e.listing.Incarnation || failure.Age < 0 || failure.Age > failureLifetime {
			continue
		}
		failedAt := now.Add(-failure.Age)
		if e.lastProgress.After(failedAt) {
			working = append(working, chicoryhall.EndpointFailure{Endpoint: failure.Endpoint, Incarnation: failure.Incarnation, Age: now.Sub(e.lastProgress)})
			continue
		}
		standing[failure.Endpoint] = failedAt
	}
	var withdrawn []chicoryhall.EndpointID
	for id, e := range l.entries {
		if _, stands := standing[id]; !stands && e.weak.mayBeWithdrawn(now) {
			withdrawn = append(withdrawn, id)
		}
	}
	l.mu.Unlock()
	for id, failedAt := range standing {
		delay := l.trialDelay()
		l.change(id, "reported by another daemon", func(e *listedEntry) {
			if e.failedAt.Before(failedAt) && e.weak.report(failedAt, delay) {
				heard++
			}
		})
	}
	for _, id := range withdrawn {
		l.change(id, "withdrawn by another daemon", (*listedEntry).withdrawReport)
	}
	return heard, working
}

// withdrawReport ends the suspicion by reports. One by this daemon's own traffic remains.
func (e *listedEntry) withdrawReport() {
	if e.failedAt.IsZero() {
		e.weak = weakSuspicion{}
		return
	}
	e.weak.reportedAt = time.Time{}
}

// trialDelay returns how much longer than the daemon with the latest failure this one keeps an endpoint suspect.
func (l *ListedEndpoints) trialDelay() time.Duration {
	spread := min(maxTrialSpread, max(minTrialSpread, trialSpreadPerDaemon*time.Duration(l.config.DomainDaemons())))
	return trialHeadStart + time.Duration(l.config.Random()*float64(spread))
}
