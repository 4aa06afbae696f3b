package passthrough

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
)

const (
	// reservationPause is the time after which a suspect tries again to reserve endpoints, if other suspects hold them.
	reservationPause = 100 * time.Millisecond
	// maxReservationWait bounds the time for these tries.
	maxReservationWait = 2 * time.Second
	// retryAfterUnsettled is the Retry-After time of a suspect that cannot run now: it may be known by then whether it
	// caused a crash, or its endpoints may be free.
	retryAfterUnsettled = time.Second
	// The beginning of an answer is its first beginningPieces pieces and its first beginningTime. An endpoint that a part of
	// the prompt crashes ends within it.
	beginningPieces = 2
	beginningTime   = 500 * time.Millisecond
)

var (
	errCrashesEndpoints = errors.New("requests with this content have crashed the endpoints that ran them")
	errNoTrialsLeft     = errors.New("requests with this content have had all their trials")
	errNotSettled       = errors.New("endpoints crashed under requests with this content; whether these were the cause is not known yet")
	errNotReserved      = errors.New("endpoints crashed under requests with this content; no endpoints could be reserved for it")
)

// fingerprintOf returns the fingerprint of a request: the same one for each request of an organisation with the same
// method, host, path, query and body.
func (x *callerExchange) fingerprintOf() quarantine.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{x.head.Method, x.head.Host, x.head.RequestURI, string(x.organisation)} {
		_, _ = hash.WriteString(strconv.Quote(part)) // Writing to a hash never fails.
	}
	_, _ = hash.Write(x.body)
	return quarantine.Fingerprint(hash.Sum64())
}

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share. The same part has
// another fingerprint at another service, whose endpoints it may not crash.
func (x *callerExchange) partFingerprints() []quarantine.Fingerprint {
	parts := make([]quarantine.Fingerprint, 0, len(x.callerHeaders.SharedParts))
	for _, id := range x.callerHeaders.SharedParts {
		parts = append(parts, quarantine.Fingerprint(xxhash.Sum64String(strconv.Quote(string(x.service))+id)))
	}
	return parts
}

// standing returns what is known of requests with the content of this one, or with parts of it.
func (x *callerExchange) standing() quarantine.Standing {
	return x.config().Quarantine.Standing(quarantine.Content{Whole: x.fingerprint, Parts: x.parts}, x.config().Timer.Now())
}

// endQuarantined ends the exchange because of what is known of its content. If it is convicted, the caller is told to
// return when the conviction has expired.
func (x *callerExchange) endQuarantined(standing quarantine.Standing, reason error) {
	after := retryAfterUnsettled
	if standing.State == quarantine.StateConvicted {
		after = standing.Lifetime
		x.config().Metrics.requestQuarantined()
		x.config().Log.Log(event.RequestQuarantined, "request", x.callerHeaders.ID, "fingerprint", standing.Subject,
			"incidents", standing.Incidents, "crashes", standing.Crashes, "reason", reason)
	}
	x.endWithoutAnswer(x.finalVerdict(false), after, reason.Error())
}

// attemptID identifies the attempt with the given number among all attempts of all daemons, also if a caller uses a
// request's ID again.
func (x *callerExchange) attemptID(number int) string {
	return string(x.callerHeaders.ID) + "/" + strconv.Itoa(number) + "/" + x.nonce
}

// stagesOf returns the stages of a route with their endpoints' current incarnations.
func (x *callerExchange) stagesOf(route chicoryhall.Route) []quarantine.Stage {
	stages := make([]quarantine.Stage, 0, len(route.Hops))
	for _, hop := range route.Hops {
		incarnation := quarantine.Incarnation{Endpoint: hop.Engine, Number: x.config().Endpoints.View(hop.Engine).Load.Incarnation}
		stages = append(stages, quarantine.Stage{Incarnation: incarnation, Address: hop.Address})
	}
	return stages
}

// reserve reserves the endpoints of a suspect's route and then starts the attempt.
func (x *callerExchange) reserve(route chicoryhall.Route, standing quarantine.Standing) {
	attempt := x.attemptID(x.attempts + 1)
	x.config().Quarantine.Reserve(attempt, standing.Subject, x.stagesOf(route), func(answer quarantine.Answer) {
		x.conn.post(func() { x.onReservation(attempt, route, standing, answer) })
	})
}

// onReservation starts an attempt whose endpoints have been reserved, or tries again later with others.
func (x *callerExchange) onReservation(attempt string, route chicoryhall.Route, standing quarantine.Standing, answer quarantine.Answer) {
	if x.finished {
		x.config().Quarantine.Release(attempt, quarantine.TrialNotStarted)
		return
	}
	runs := answer.Decision == quarantine.DecisionReserved || answer.Decision == quarantine.DecisionFree
	if runs && (!x.isOpen(route) || x.lacksTime()) {
		x.config().Quarantine.Release(attempt, quarantine.TrialNotStarted)
		x.awaitReservation(standing)
		return
	}
	switch answer.Decision {
	case quarantine.DecisionReserved:
		x.config().Log.Log(event.SuspectIsolated, "request", x.callerHeaders.ID, "fingerprint", standing.Subject,
			"incidents", standing.Incidents, "crashes", standing.Crashes, "route", routeText(route))
		x.launch(route, standing, true)
	case quarantine.DecisionFree:
		x.launch(route, standing, false)
	case quarantine.DecisionWait:
		x.reservedElsewhere = append(x.reservedElsewhere, answer.Busy...)
		x.awaitReservation(standing)
	case quarantine.DecisionRefuse:
		standing.State = quarantine.StateConvicted
		x.endQuarantined(standing, errNoTrialsLeft)
	}
}

// isOpen reports whether the endpoints of a route that was chosen some time ago still take requests.
func (x *callerExchange) isOpen(route chicoryhall.Route) bool {
	return !slices.ContainsFunc(route.Hops, func(hop chicoryhall.Hop) bool {
		view := x.config().Endpoints.View(hop.Engine)
		return view.Paused || view.State != chicoryhall.EndpointReady
	})
}

// awaitReservation starts the attempt again after a pause, or ends the exchange if it has waited for too long.
func (x *callerExchange) awaitReservation(standing quarantine.Standing) {
	now := x.config().Timer.Now()
	if x.reservingSince.IsZero() {
		x.reservingSince = now
	}
	if now.Sub(x.reservingSince) >= maxReservationWait {
		x.endQuarantined(standing, errNotReserved)
		return
	}
	x.config().Timer.After(reservationPause, func(time.Time) {
		x.conn.post(func() {
			if !x.finished {
				x.startAttempt()
			}
		})
	})
}

// reportLoss reports that the attempt was sent and ended without a complete answer.
func (a *attempt) reportLoss(cause quarantine.LossCause) {
	if a.peer != nil { // The daemon that runs the request reports it.
		return
	}
	x := a.exchange
	x.config().Quarantine.Lost(quarantine.Loss{
		Fingerprint: x.fingerprint, Parts: a.unprovenParts(), Subject: a.standing.Subject, Attempt: x.attemptID(a.number), Stages: a.stages,
		Position: x.position(), Events: a.ownEvents(), Cause: cause, StartedAt: a.startedAt, LostAt: x.config().Timer.Now(),
	})
}

// unprovenParts returns the parts of the prompt, unless the answer has gone on beyond its beginning: they are harmless then.
func (a *attempt) unprovenParts() []quarantine.Fingerprint {
	if a.wentOn {
		return nil
	}
	return a.exchange.parts
}

// recordPiece records that a piece of the answer has arrived. The answer has gone on beyond its beginning after
// beginningPieces and beginningTime.
func (a *attempt) recordPiece(now time.Time) {
	if a.pieces == 0 {
		a.firstPieceAt = now
		a.reportFirstEvent(now)
	}
	a.pieces++
	if a.pieces > beginningPieces && now.Sub(a.firstPieceAt) >= beginningTime {
		a.markWentOn()
	}
}

// markWentOn records that the answer has gone on beyond its beginning, or to its end.
func (a *attempt) markWentOn() {
	x := a.exchange
	if a.wentOn || len(x.parts) == 0 {
		return
	}
	a.wentOn = true
	x.config().Quarantine.WentOn(x.parts, a.withdrawn)
	if a.isPartTrial() {
		a.endTrial(quarantine.TrialPassed)
	}
}

// isPartTrial reports whether the attempt was the trial of a part of the prompt.
func (a *attempt) isPartTrial() bool {
	return a.isTrial() && slices.Contains(a.exchange.parts, a.standing.Subject)
}

// isTrial reports whether the attempt was the trial of a suspect.
func (a *attempt) isTrial() bool { return a.standing.State == quarantine.StateSuspect }

// checkProven clears the request's content of the crashes that were known at the start of the attempt, once its answer
// has got beyond the point at which earlier attempts were lost. A complete answer is always beyond it.
func (a *attempt) checkProven(complete bool) {
	x := a.exchange
	isBeyond := x.position() >= a.standing.ProvenAt && a.ownEvents() >= a.standing.ProvenAfter
	if len(a.standing.Crashes) == 0 || !complete && !isBeyond {
		return
	}
	x.config().Quarantine.Passed(x.fingerprint, a.standing.Crashes)
	a.standing.Crashes = nil
	if !a.isPartTrial() {
		a.endTrial(quarantine.TrialPassed)
	}
}

// trialOutcome returns the outcome of a trial that has not passed.
func (a *attempt) trialOutcome() quarantine.TrialOutcome {
	switch {
	case !a.isSent():
		return quarantine.TrialNotStarted
	case a.answerHeaders.NotRun:
		return quarantine.TrialRefused
	default:
		return quarantine.TrialLost
	}
}

// endTrial releases the reservation of the attempt, if it has one.
func (a *attempt) endTrial(outcome quarantine.TrialOutcome) {
	if a.reserved {
		a.reserved = false
		a.exchange.config().Quarantine.Release(a.exchange.attemptID(a.number), outcome)
	}
}

// ownEvents returns the number of events of the answer that the attempt itself has made.
func (a *attempt) ownEvents() int64 {
	if a.events == nil {
		return 0
	}
	return a.events.Passed()
}

// position returns the ID of the last event that the caller has received, or 0.
func (x *callerExchange) position() int64 {
	if x.events == nil {
		return 0
	}
	return x.events.Position()
}
