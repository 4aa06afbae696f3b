package passthrough

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
)

const (
	// firstStall and laterStall are the times without an event after which a stream is taken to be
	// stalled, in parts of its target latency and of its wanted gap.
	firstStall = 3
	laterStall = 3
	// leastStall bounds both from below.
	leastStall = 400 * time.Millisecond
	// provedAlive is how lately an endpoint must have shown progress to be innocent of a stall.
	provedAlive = 250 * time.Millisecond
	// progressPeriod is the least time between two notes of progress by one attempt.
	progressPeriod = 50 * time.Millisecond
	// maxWhole bounds the answers that are kept until they are whole, in bytes; longer ones are
	// passed on as they arrive.
	maxWhole = 1 << 20
)

// attempt is one sending of a request to an endpoint. Its fields are used by the connection's turn
// alone.
type attempt struct {
	run    *exchangeRun
	number int
	route  chicoryhall.Route
	conn   *endpointConnection
	// sent tells that bytes of the request may have gone out.
	sent     bool
	ended    bool
	began    time.Time
	response *http.Response
	terms    chicoryhall.AnswerTerms
	// whole collects an answer that is passed on once it is whole; streaming tells that it is
	// passed on as it arrives.
	whole     []byte
	streaming bool
	// progress is when the last piece arrived, noted when the endpoints were last told of it.
	progress time.Time
	noted    time.Time
}

// attempt chooses endpoints and sends the request.
func (x *exchangeRun) attempt() {
	now := x.parts().Timer.Now()
	inForce, known := x.parts().Documents.InForce(x.service)
	if !known {
		x.refuse(http.StatusServiceUnavailable, retryAfterUnknown, "the service is not described")
		return
	}
	route, err := x.parts().Router.Choose(chicoryhall.RouteQuery{
		Document: inForce.Document, From: x.parts().FailureDomain, Positions: x.terms.PromptTokens,
		Remaining: x.terms.AnswerTokens, Exclude: x.tried, Now: now,
	})
	if err != nil {
		x.onUnroutable(err)
		return
	}
	x.attempts++
	a := &attempt{run: x, number: x.attempts, route: route, began: now, progress: now}
	x.current = a
	for _, hop := range route.Hops {
		x.parts().Endpoints.Begin(hop.Engine)
	}
	x.lookAt(a.nextLook())
	a.logBegin(now)
	x.server.pool.send(outgoing{
		address: route.Hops[0].Address, method: x.head.Method, id: x.terms.ID, message: a.message(now), answer: a,
	})
}

// logBegin logs the decision where the request runs, with what decided it.
func (a *attempt) logBegin(now time.Time) {
	x := a.run
	first := x.parts().Endpoints.View(a.route.Hops[0].Engine)
	x.parts().Log.Log(event.ExchangeAdmitted, "request", x.terms.ID, "attempt", a.number, "service", x.service, "class", x.class.Name,
		"organisation", x.organisation, "rules", x.version, "waited", now.Sub(x.began), "left", x.deadline.Sub(now),
		"route", routeText(a.route), "expectedFirst", a.route.FirstToken, "expectedGap", a.route.BetweenTokens,
		"ownInFlight", first.InFlight, "othersBelieved", first.Load.Running, "resumeBehind", a.resumeBehind())
}

// resumeBehind returns the event behind which the attempt goes on, or an empty string.
func (a *attempt) resumeBehind() string {
	if a.run.events == nil {
		return a.run.terms.LastEvent
	}
	return a.run.events.Last()
}

// onUnroutable ends an exchange that no endpoints can run.
func (x *exchangeRun) onUnroutable(err error) {
	x.parts().Doubt()
	switch {
	case x.machine.IsAnswering():
		x.cut("no endpoints to go on at: " + err.Error())
	case x.machine.MayHaveRun():
		x.answerOwn(http.StatusBadGateway, event.ExchangeFailed, "no endpoints to go on at: "+err.Error())
	default:
		x.refuse(http.StatusServiceUnavailable, retryAfterUncovered, err.Error())
	}
}

// message writes the request as the endpoint shall get it.
func (a *attempt) message(now time.Time) []byte {
	x := a.run
	terms := chicoryhall.EndpointTerms{
		Remaining: x.deadline.Sub(now), Endpoint: a.route.Hops[0].Engine, Organisation: x.organisation,
		Hops: a.route.Hops, LastEvent: a.resumeBehind(),
	}
	header := x.parts().Dialect.Forward(http1.EndToEnd(x.head.Header), terms)
	out := make([]byte, 0, len(x.body)+1024)
	out = http1.AppendRequestHead(out, x.head.Method, x.head.RequestURI, x.head.Host, header, len(x.body))
	return append(out, x.body...)
}

// nextLook is when the attempt has stalled unless there is progress.
func (a *attempt) nextLook() time.Time {
	x := a.run
	if x.rule.Kind != chicoryhall.ExchangeStream {
		return x.deadline
	}
	allowed := firstStall * x.rule.TargetLatency
	if a.streaming {
		allowed = laterStall * x.rule.TargetGap
	}
	stalled := a.progress.Add(max(leastStall, allowed))
	if x.deadline.Before(stalled) {
		return x.deadline
	}
	return stalled
}

// onDue looks at whether the attempt has stalled.
func (a *attempt) onDue(now time.Time) {
	if look := a.nextLook(); now.Before(look) {
		a.run.lookAt(look)
		return
	}
	a.blameStall(now)
	a.run.server.pool.forget(a.route.Hops[0].Address)
	a.fail(exchange.FailureLost, errors.Errorf("no progress for %s", now.Sub(a.progress).Round(time.Millisecond)))
}

// blameStall makes the endpoints suspect that have not shown progress to any request lately.
func (a *attempt) blameStall(now time.Time) {
	endpoints := a.run.parts().Endpoints
	for _, hop := range a.route.Hops {
		if now.Sub(endpoints.Progressed(hop.Engine)) > provedAlive {
			endpoints.Observe(hop.Engine, chicoryhall.ObservedSilence)
			a.run.tried = append(a.run.tried, hop.Engine)
		}
	}
}

// avoidFirst keeps further attempts away from the endpoint that answered: a part of a pipeline that
// fails further on shows as a stall, so the fault is its own.
func (a *attempt) avoidFirst() {
	a.run.tried = append(a.run.tried, a.route.Hops[0].Engine)
}

// end gives back what the attempt holds; abandon closes its connection.
func (a *attempt) end(abandon bool) {
	if a.ended {
		return
	}
	a.ended = true
	for _, hop := range a.route.Hops {
		a.run.parts().Endpoints.End(hop.Engine)
	}
	if abandon && a.conn != nil {
		a.conn.abandon(a)
	}
}

// fail ends the attempt and carries out what follows.
func (a *attempt) fail(failure exchange.Failure, cause error) {
	x := a.run
	a.end(true)
	x.current = nil
	x.parts().Log.Log(event.AttemptEnded, "request", x.terms.ID, "attempt", a.number, "failure", failure, "sent", a.sent,
		"route", routeText(a.route), "took", x.parts().Timer.Now().Sub(a.began), "error", cause)
	verdict := x.machine.After(failure, func() bool { return x.mayRetry() })
	x.carryOut(verdict, a, cause)
}

// mayRetry spends a retry if there is time for one.
func (x *exchangeRun) mayRetry() bool {
	now := x.parts().Timer.Now()
	if !now.Before(x.deadline) || x.server.ending.Load() {
		return false
	}
	return x.parts().Retries.Take(x.service, now)
}

// carryOut does what the machine decided about a failed attempt.
func (x *exchangeRun) carryOut(verdict exchange.Verdict, a *attempt, cause error) {
	switch verdict {
	case exchange.VerdictAgain:
		if x.events != nil {
			x.events.Resume()
		}
		x.attempt()
	case exchange.VerdictNotRun:
		x.refuse(http.StatusServiceUnavailable, retryAfterRefused, "endpoints refused or were not reached: "+cause.Error())
	case exchange.VerdictPassOn:
		x.passOn(a)
	case exchange.VerdictCut:
		x.cut(cause.Error())
	default:
		x.answerOwn(http.StatusBadGateway, event.ExchangeFailed, cause.Error())
	}
}

// onSending notes the connection right before the first byte goes out.
func (a *attempt) onSending(conn *endpointConnection) {
	a.run.conn.call(func() {
		if a.ended {
			conn.abandon(a)
			return
		}
		a.conn, a.sent = conn, true
	})
}

func (a *attempt) onHead(response *http.Response) {
	a.run.conn.call(func() {
		if !a.ended {
			a.takeHead(response)
		}
	})
}

func (a *attempt) onBody(piece []byte) {
	kept := slices.Clone(piece)
	a.run.conn.call(func() {
		if !a.ended {
			a.takeBody(kept)
		}
	})
}

func (a *attempt) onWhole() {
	a.run.conn.call(func() {
		if !a.ended {
			a.takeWhole()
		}
	})
}

func (a *attempt) onFailure(err error, sent bool) {
	a.run.conn.call(func() {
		if !a.ended {
			a.takeFailure(err, sent)
		}
	})
}

// takeHead decides how the answer is passed on.
func (a *attempt) takeHead(response *http.Response) {
	a.response = response
	a.terms = a.run.parts().Dialect.Answer(response)
	if a.terms.Running >= 0 {
		a.run.parts().Endpoints.Report(a.route.Hops[0].Engine, a.terms.Running)
	}
	if a.terms.Waiting > 0 {
		a.run.parts().Endpoints.Observe(a.route.Hops[0].Engine, chicoryhall.ObservedFull)
	}
	a.noteProgress()
	if response.StatusCode >= http.StatusMultipleChoices || a.terms.NotRun {
		return
	}
	if a.terms.Unsigned {
		a.avoidFirst()
		a.fail(exchange.FailureLost, errors.New("the success carries no signature"))
		return
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.beginStream()
	}
}

// beginStream passes the head of a stream on, unless it goes on with an earlier attempt's answer.
func (a *attempt) beginStream() {
	x := a.run
	a.streaming = true
	if x.machine.IsAnswering() {
		return
	}
	x.events = &exchange.Events{}
	x.events.After(x.terms.LastEvent)
	a.beginAnswer()
}

// beginAnswer writes the head of an answer whose body is passed on as it arrives.
func (a *attempt) beginAnswer() {
	x := a.run
	x.machine.Answering()
	x.last = x.isLast()
	header := http1.EndToEnd(a.response.Header)
	x.conn.write(http1.AppendResponseHead(nil, a.response.StatusCode, header, x.framing(), 0, x.last))
}

func (a *attempt) takeBody(piece []byte) {
	x := a.run
	a.noteProgress()
	if !a.streaming {
		a.whole = append(a.whole, piece...)
		if len(a.whole) > maxWhole {
			a.streaming = true
			a.beginAnswer()
			x.conn.write(x.appendPiece(nil, a.whole))
			a.whole = nil
		}
		return
	}
	out := piece
	if x.events != nil {
		var err error
		if out, err = x.events.Feed(nil, piece); err != nil {
			x.parts().Endpoints.Observe(a.route.Hops[0].Engine, chicoryhall.ObservedBrokenConnection)
			a.avoidFirst()
			a.fail(exchange.FailureLost, err)
			return
		}
	}
	if len(out) > 0 {
		x.notePiece()
		x.conn.write(x.appendPiece(nil, out))
	}
}

// appendPiece frames a piece of an answer of unknown length.
func (x *exchangeRun) appendPiece(out, piece []byte) []byte {
	if x.framing() == http1.FramingClose {
		return append(out, piece...)
	}
	return http1.AppendChunk(out, piece)
}

// noteProgress tells the view of endpoints, from time to time, that the route's endpoints work.
func (a *attempt) noteProgress() {
	now := a.run.parts().Timer.Now()
	a.progress = now
	if now.Sub(a.noted) < progressPeriod {
		return
	}
	a.noted = now
	for _, hop := range a.route.Hops {
		a.run.parts().Endpoints.Observe(hop.Engine, chicoryhall.ObservedProgress)
	}
}

// takeWhole ends the attempt whose answer is whole.
func (a *attempt) takeWhole() {
	x := a.run
	status := a.response.StatusCode
	switch {
	case a.terms.NotRun:
		a.refused()
	case a.streaming && x.events != nil && !x.events.IsBetween():
		a.avoidFirst()
		a.fail(exchange.FailureLost, errors.New("the stream ended inside an event"))
	case a.streaming:
		a.finishStream(status)
	case status >= http.StatusInternalServerError:
		a.avoidFirst()
		a.fail(exchange.FailureAnswered, errors.Errorf("the endpoint answered with status %d", status))
	case x.machine.IsAnswering():
		a.fail(exchange.FailureLost, errors.Errorf("the stream goes on with status %d", status))
	default:
		a.end(false)
		x.current = nil
		x.passOn(a)
	}
}

// refused handles the answer of an endpoint that did not run the request.
func (a *attempt) refused() {
	x := a.run
	blamed := a.route.Hops[0].Engine
	if a.terms.Fault != "" {
		if id, known := x.parts().Endpoints.ByAddress(a.terms.Fault); known {
			blamed = id
		}
	}
	x.tried = append(x.tried, blamed)
	if a.terms.Misdirected {
		x.parts().Doubt()
		x.parts().Endpoints.Observe(blamed, chicoryhall.ObservedSilence)
	} else {
		x.parts().Endpoints.Observe(blamed, chicoryhall.ObservedFull)
	}
	a.fail(exchange.FailureRefused, errors.Errorf("endpoint %s refused with status %d", blamed, a.response.StatusCode))
}

func (a *attempt) finishStream(status int) {
	x := a.run
	a.end(false)
	x.current = nil
	if x.framing() == http1.FramingChunked {
		x.conn.write(http1.AppendLastChunk(nil))
	}
	x.ended(status, routeText(a.route))
}

// passOn hands an endpoint's whole answer on as it is.
func (x *exchangeRun) passOn(a *attempt) {
	x.last = x.isLast()
	x.notePiece()
	x.conn.writeWhole(a.response.StatusCode, http1.EndToEnd(a.response.Header), a.whole, x.last)
	x.ended(a.response.StatusCode, routeText(a.route))
}

// takeFailure handles the end of the connection before a whole answer.
func (a *attempt) takeFailure(err error, sent bool) {
	x := a.run
	first := a.route.Hops[0].Engine
	a.avoidFirst()
	if sent {
		x.parts().Endpoints.Observe(first, chicoryhall.ObservedBrokenConnection)
		a.fail(exchange.FailureLost, err)
		return
	}
	observed := chicoryhall.ObservedSilence
	if errors.Is(err, syscall.ECONNREFUSED) {
		observed = chicoryhall.ObservedRefusedConnection
	}
	if errors.Is(err, net.ErrClosed) {
		observed = chicoryhall.ObservedBrokenConnection
	}
	x.parts().Endpoints.Observe(first, observed)
	x.server.pool.forget(a.route.Hops[0].Address)
	a.fail(exchange.FailureUnsent, err)
}

// routeText writes a route for logs.
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

// secondsText writes a time to come back in seconds.
func secondsText(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}
