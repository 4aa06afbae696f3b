package passthrough

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/stall"
)

const (
	// hedgeSeekPeriod is the time after which a hedge is sought again where none was possible.
	hedgeSeekPeriod = 100 * time.Millisecond
	// An endpoint that made progress for any request within recentProgress is not suspected after a stall.
	recentProgress = 250 * time.Millisecond
	// progressReportPeriod is the least time between two reports of progress by one attempt.
	progressReportPeriod = 50 * time.Millisecond
)

// attempt is one attempt to run a request at an endpoint. Its fields are only used in the mailbox of the
// caller's connection.
type attempt struct {
	exchange *callerExchange
	number   int
	route    chicoryhall.Route
	// peer is the daemon that the request is handed to, instead of the endpoints of a route. peerOutcome is what that has
	// shown of it, and reply what its own answer means.
	peer        *relay.Peer
	peerOutcome relay.Outcome
	reply       relay.Reply
	// sending is taken by the connection that sends the request, and revoked when the attempt ends.
	sending sendPermit
	// stages are those of the route at the start of the attempt.
	stages []quarantine.Stage
	// standing is what was known of the request's content at the start of the attempt.
	standing quarantine.Standing
	// reserved is set while the endpoints are reserved for the attempt.
	reserved bool
	// lossCause is how the attempt was lost, if it was.
	lossCause     quarantine.LossCause
	ended         bool
	startedAt     time.Time
	response      *http.Response
	answerHeaders chicoryhall.AnswerHeaders
	// buffered collects an answer that is forwarded once it is complete. forwarding is set if the answer is
	// forwarded as it arrives: an event stream, or an answer that is too long to be held. held is what the account
	// says that the attempt holds.
	buffered   bodyBuffer
	forwarding bool
	held       int
	// withdrawn is what the answer withdraws of what is held against the parts of the prompt, once it has gone on.
	withdrawn []quarantine.Clearance
	// pieces counts the pieces of the answer's body, the first of which arrived at firstPieceAt. wentOn is set once the answer
	// has gone on beyond its beginning.
	pieces       int
	firstPieceAt time.Time
	wentOn       bool
	// lastProgress is when the attempt started, or when the head or the last piece of the body arrived.
	// progressReportedAt is when progress was last reported.
	lastProgress time.Time
	// endpointWorks is set once the answer, which is no event stream, has been late while its endpoint was not silent.
	endpointWorks      bool
	progressReportedAt time.Time
	// stalled is set from when the attempt stalls until more of the answer arrives. silenceReportedAt and hedgeSoughtAt are when
	// its silence was last reported to the circuit breakers and when a hedge was last sought since then. excludedAsSilent are the
	// endpoints that are excluded only because it has stalled.
	stalled           bool
	silenceReportedAt time.Time
	hedgeSoughtAt     time.Time
	excludedAsSilent  []chicoryhall.EndpointID
	// reroutes are the moves to other engines.
	reroutes rerouting
	// mark is what other attempts see of this one's progress, or nil for one at another daemon. stallCause is why the attempt
	// counts as stalled, which may be before stalled is set; checkAt is when it is judged next, unless more of the answer
	// arrives. hedgedFor was the stallCause when a hedge was started.
	mark       *progressMark
	stallCause stall.Cause
	checkAt    time.Time
	hedgedFor  stall.Cause
	// events tracks the events of a streamed answer. It is that of the exchange once the attempt goes on with the answer.
	events *exchange.EventSplitter
}

// startAttempt chooses the endpoints and starts the attempt, or ends the exchange if it may not run. A suspect starts once
// its endpoints are reserved.
func (x *callerExchange) startAttempt() {
	standing := x.standing()
	switch standing.State {
	case quarantine.StateConvicted:
		x.endQuarantined(standing, errCrashesEndpoints)
		return
	case quarantine.StateUnsettled:
		x.endQuarantined(standing, errNotSettled)
		return
	case quarantine.StateFree, quarantine.StateSuspect:
	}
	if x.lacksTime() {
		x.endWithoutAnswer(x.finalVerdict(false), retryAfterRefused, "too little time is left for an answer")
		return
	}
	if x.lacksGrace() {
		x.refuseUnable(retryAfterDraining, "the daemon stops before an answer can be expected")
		return
	}
	if x.mustRelay() && x.handOver() {
		return
	}
	current, known := x.config().Documents.Current(x.service)
	if !known {
		x.refusal = relay.ReplyUnable
		x.endWithoutAnswer(x.finalVerdict(false), retryAfterNoRules, "the service is not described")
		return
	}
	route, err := x.chooseRouteAgain(current.Document)
	switch {
	case err == nil && standing.Blocked:
		x.awaitReservation(standing)
	case err != nil && len(x.reservedElsewhere) > 0:
		x.reservedElsewhere = nil
		x.awaitReservation(standing)
	case err != nil:
		x.onNoRoute(err)
	case standing.State == quarantine.StateSuspect:
		x.reserve(route, standing)
	default:
		x.launch(route, standing, false)
	}
}

// launch sends the request to the endpoints of a route. reserved says whether they are reserved for it.
func (x *callerExchange) launch(route chicoryhall.Route, standing quarantine.Standing, reserved bool) {
	now := x.config().Timer.Now()
	x.attempts++
	a := &attempt{
		exchange: x, number: x.attempts, route: route, stages: x.stagesOf(route), standing: standing, reserved: reserved,
		startedAt: now, lastProgress: now,
	}
	a.mark = x.server.progress.add(a)
	x.current, x.isUnsent = a, false
	x.conn.holdsBack.Store(false)
	a.begin(route)
	x.checkTimer.wakeBy(a.dueAt())
	a.logStart(now)
	x.server.pool.send(endpointRequest{
		address: route.Hops[0].Address, endpoint: route.Hops[0].Engine, method: x.head.Method, id: x.callerHeaders.ID, message: a.message(now), receiver: a,
	})
}

// logStart logs the choice of endpoints and the values that it was based on.
func (a *attempt) logStart(now time.Time) {
	x := a.exchange
	first := x.config().Endpoints.View(a.route.Hops[0].Engine)
	x.config().Log.Log(event.ExchangeAdmitted, "request", x.callerHeaders.ID, "attempt", a.number, "service", x.service, "class", x.class.Name,
		"organisation", x.organisation, "fingerprint", x.fingerprint, "parts", x.parts, "rules", x.rulesVersion, "waited", now.Sub(x.startedAt), "left", x.deadline.Sub(now),
		"route", routeText(a.route), "expectedFirst", a.route.TimeToFirstToken, "expectedGap", a.route.TimePerToken,
		"ownInFlight", first.InFlight, "othersBelieved", first.Load.Running, "paused", first.Paused, "resumeBehind", a.resumeAfter())
}

// resumeAfter returns the ID of the event after which the attempt resumes, or an empty string.
func (a *attempt) resumeAfter() string {
	if a.exchange.events == nil {
		return a.exchange.callerHeaders.LastEvent
	}
	return a.exchange.events.LastID()
}

// message encodes the request for the endpoint.
func (a *attempt) message(now time.Time) []byte {
	x := a.exchange
	endpointHeaders := chicoryhall.EndpointHeaders{
		RemainingTime: x.deadline.Sub(now), Endpoint: a.route.Hops[0].Engine, Organisation: x.organisation,
		Hops: a.route.Hops, LastEvent: a.resumeAfter(), Priority: x.rank, HasPriority: x.hasRank,
	}
	header := x.config().Dialect.Forward(http1.EndToEndFields(x.head.Header), endpointHeaders)
	out := make([]byte, 0, len(x.body)+1024)
	out = http1.AppendRequestHead(out, x.head.Method, x.head.RequestURI, x.head.Host, header, len(x.body))
	return append(out, x.body...)
}

// isSent reports whether bytes of the request may have been sent. It is final only once the attempt has ended: until then, the
// request may be sent at any time.
func (a *attempt) isSent() bool { return a.sending.isTaken() }

// end releases what the attempt holds; the request is not sent any more. If abandon is set, it also closes the connection to the
// endpoint.
func (a *attempt) end(abandon bool) {
	if a.ended {
		return
	}
	conn := a.sending.revoke()
	a.release()
	if abandon && conn != nil {
		conn.abandon(a)
	}
}

// endLate ends the attempt because the deadline has passed. An answer that has not begun yet may still say something of the endpoint.
func (a *attempt) endLate() {
	conn := a.sending.revoke()
	if a.response != nil || a.peer != nil || conn == nil || a.ended {
		a.end(true)
		return
	}
	a.release()
	conn.abandonLate(a)
}

// release releases what the attempt holds, but for the connection.
func (a *attempt) release() {
	a.ended = true
	a.setHeld(0)
	a.reportMissingFirstEvent()
	a.exchange.server.progress.remove(a)
	a.endAt(a.route)
	if a.peer != nil {
		a.exchange.config().Relays.Release(a.peer.ID, a.exchange.service, a.peerOutcome)
	}
	a.endTrial(a.trialOutcome())
}

// onSending is called when the request is about to be written to a connection. It does not wait for the caller's mailbox, as a
// step there may be ending the attempt.
func (a *attempt) onSending(conn *endpointConnection) bool { return a.sending.take(conn) }

// post runs a step in the mailbox of the caller's connection, unless the attempt has ended by then.
func (a *attempt) post(step func()) { a.exchange.conn.post(a.unlessEnded(step)) }

// unlessEnded returns a function that runs a step unless the attempt has ended by then.
func (a *attempt) unlessEnded(step func()) func() {
	return func() {
		if !a.ended {
			step()
		}
	}
}

func (a *attempt) onHead(response *http.Response) {
	a.post(func() { a.handleHead(response) })
}

// onBody copies the piece, as the connection's reader reuses its buffer. It waits for room in the caller's mailbox if an endpoint
// sends faster than the answer is handled. It is only called by the event loop, for which no handler waits.
func (a *attempt) onBody(piece []byte) {
	copied := slices.Clone(piece)
	a.exchange.conn.postLimited(a.unlessEnded(func() { a.handleBody(copied) }), len(copied))
}

func (a *attempt) onEnd() {
	a.post(a.handleEnd)
}

func (a *attempt) onFailure(err error, sent bool) {
	a.post(func() { a.handleConnectionFailure(err, sent) })
}

// routeText formats a route for logs.
func routeText(route chicoryhall.Route) string {
	parts := make([]string, 0, len(route.Hops))
	for _, hop := range route.Hops {
		text := string(hop.Engine)
		if hop.To > 0 {
			text += "[" + strconv.Itoa(hop.From) + "," + strconv.Itoa(hop.To) + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, " ")
}

// secondsText formats a Retry-After value in seconds.
func secondsText(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
