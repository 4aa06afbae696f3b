package passthrough

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/pace"
	"chicoryhall.example/chicoryhall/relay"
)

// handleHead handles the head of the answer. It starts to forward an event stream; any other answer is
// buffered at first.
func (a *attempt) handleHead(response *http.Response) {
	a.response = response
	a.answerHeaders = a.parseAnswer(response)
	if a.answerHeaders.Running >= 0 {
		a.exchange.config().Endpoints.ReportRunning(a.route.Hops[0].Engine, a.answerHeaders.Running)
	}
	if a.answerHeaders.Waiting > 0 { // Requests wait there, so the endpoint has no room, whatever it answers to this one.
		a.exchange.config().Endpoints.Observe(a.route.Hops[0].Engine, chicoryhall.ObservedFull)
	}
	a.recordLimit()
	a.reportProgress()
	if response.StatusCode >= http.StatusMultipleChoices || a.answerHeaders.NotRun {
		return
	}
	if a.answerHeaders.Unsigned { // Complete successful answers carry a signature, so this one may be incomplete.
		a.excludeFirst()
		a.fail(exchange.FailureLost, errors.New("the success carries no signature"))
		return
	}
	if len(a.exchange.parts) > 0 {
		a.withdrawn = a.exchange.config().Quarantine.Began(a.exchange.parts, a.isTrial())
	}
	if a.isHeld() {
		a.goOn()
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.startStream()
	}
}

// recordLimit records what the answer says of the limit of the first endpoint, unless another endpoint has answered.
func (a *attempt) recordLimit() {
	if a.answerHeaders.Misdirected || a.peer != nil {
		return
	}
	x := a.exchange
	x.config().Limits.Record(pace.Statement{
		Endpoint: a.route.Hops[0].Engine, Service: x.service, Limit: a.answerHeaders.Limit, AskedAt: a.startedAt, Refused: a.answerHeaders.NotRun,
	}, x.config().Timer.Now())
}

// startStream forwards the head of a stream, unless the stream continues an earlier attempt's answer. The stream of a hedge is
// forwarded from its first event on, as is one that no other run may continue: until then, the request may run again as a whole.
func (a *attempt) startStream() {
	x := a.exchange
	a.forwarding = true
	switch {
	case x.events != nil:
		a.events = x.events.Resumed()
	case x.machine.IsAnswerStarted():
		a.fail(exchange.FailureLost, errors.New("a stream that does not continue the answer, which has no events"))
		return
	default:
		a.events = &exchange.EventSplitter{}
		a.events.SetLastID(x.callerHeaders.LastEvent)
	}
	if len(x.held) == 0 && (x.machine.MayJoinRuns() || !x.machine.IsRepeatable()) {
		a.continueStream()
	}
}

// continueStream makes the attempt's stream the one that the caller gets. That of a hedge may not be yet, even if no other
// attempt remains.
func (a *attempt) continueStream() {
	a.exchange.events = a.events
	if !a.exchange.machine.IsAnswerStarted() {
		a.startAnswer()
	}
}

// startAnswer writes the head of an answer whose body is forwarded as it arrives.
func (a *attempt) startAnswer() {
	x := a.exchange
	x.machine.MarkAnswerStarted()
	x.closeAfterAnswer = x.closesConnection()
	header := http1.EndToEndFields(a.response.Header)
	x.conn.write(http1.AppendResponseHead(nil, a.response.StatusCode, header, x.framing(), 0, x.closeAfterAnswer))
}

// handleBody forwards or buffers a piece of the answer's body.
func (a *attempt) handleBody(piece []byte) {
	a.reportProgress()
	a.recordPiece(a.exchange.config().Timer.Now())
	if a.isHeld() && a.isSuccess() {
		a.goOn()
	}
	switch {
	case a.events != nil:
		a.handleEvents(piece)
	case a.forwarding:
		a.forwardPiece(piece)
	default:
		a.bufferPiece(piece)
	}
}

// isSuccess reports whether the answer that has begun is the request's result.
func (a *attempt) isSuccess() bool {
	return a.response.StatusCode < http.StatusMultipleChoices && !a.answerHeaders.NotRun
}

// handleEvents forwards the events of a stream that are complete now, also those before an invalid one. Those of a hedge that
// fails are left to the attempt that goes on.
func (a *attempt) handleEvents(piece []byte) {
	out, err := a.events.Feed(nil, piece)
	if len(out) > 0 && (err == nil || len(a.exchange.held) == 0) {
		a.goOn()
		a.continueStream()
		a.forwardPiece(out)
	}
	a.recordHeld()
	if err == nil && !mayHold(a.exchange.server.account, a.events.Pending()) {
		err = errNoMemoryForAnswer
	}
	if err != nil {
		a.observeFirst(chicoryhall.ObservedBrokenConnection)
		a.excludeFirst()
		a.fail(exchange.FailureLost, err)
	}
}

// forwardPiece sends a piece of the answer to the caller.
func (a *attempt) forwardPiece(piece []byte) {
	x := a.exchange
	x.recordPiece()
	x.conn.write(x.appendPiece(nil, piece))
	a.holdBack()
	a.checkProven(false)
}

// appendPiece appends a piece of an answer of unknown length, framed for the caller.
func (x *callerExchange) appendPiece(out, piece []byte) []byte {
	if x.framing() == http1.FramingClose {
		return append(out, piece...)
	}
	return http1.AppendChunk(out, piece)
}

// reportProgress reports at most once per progressReportPeriod that the endpoints make progress which the answer comes
// from: all of the route, or only the first one if it refuses the request, as another one may be the reason.
func (a *attempt) reportProgress() {
	now := a.exchange.config().Timer.Now()
	a.endStall(now)
	a.markProgress(now)
	if now.Sub(a.progressReportedAt) < progressReportPeriod {
		return
	}
	a.progressReportedAt = now
	working := a.route.Hops
	if a.answerHeaders.NotRun && a.peer == nil {
		working = working[:1]
	}
	for _, hop := range working {
		a.exchange.config().Endpoints.Observe(hop.Engine, chicoryhall.ObservedProgress)
	}
}

// handleEnd handles the end of a complete answer.
func (a *attempt) handleEnd() {
	x := a.exchange
	status := a.response.StatusCode
	switch {
	case a.reply != relay.ReplyNone:
		a.handlePeerEnd()
	case a.answerHeaders.NotRun:
		a.handleRefusal()
	case a.events != nil && !a.events.AtBoundary():
		a.excludeFirst()
		a.fail(exchange.FailureLost, errors.New("the stream ended inside an event"))
	case a.events != nil && !a.events.HasContinued():
		a.excludeFirst()
		a.fail(exchange.FailureLost, errors.Errorf("the stream was to go on after event %s and ended without it", a.events.LastID()))
	case a.forwarding:
		a.finishForwarded(status)
	case impliesNotRun(status):
		a.excludeFirst()
		a.fail(exchange.FailureLost, errors.Errorf("the endpoint answered with status %d and did not say that it ran nothing", status))
	case status >= http.StatusInternalServerError && a.peer == nil:
		a.checkProven(true)
		a.excludeFirst()
		a.fail(exchange.FailureAnswered, errors.Errorf("the endpoint answered with status %d", status))
	case a.peer != nil && len(x.held) > 0 && !a.isSuccess():
		a.fail(exchange.FailureAnswered, errors.Errorf("daemon %s passed on status %d", a.peer.ID, status))
	case x.machine.IsAnswerStarted():
		a.fail(exchange.FailureLost, errors.Errorf("the endpoint that was asked to resume the stream answered with status %d", status))
	default:
		a.goOn()
		a.checkProven(true)
		a.markWentOn()
		a.end(false)
		x.current = nil
		x.forwardAnswer(a)
	}
}

// impliesNotRun reports whether callers understand a status as saying that the request did not run. If the endpoint's
// headers do not say so too, the request may have run, so a buffered answer with such a status is not forwarded: it
// would tell the caller that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// finishForwarded ends the exchange after a complete answer that was forwarded as it arrived.
func (a *attempt) finishForwarded(status int) {
	x := a.exchange
	a.goOn()
	if a.events != nil {
		a.continueStream()
	}
	a.checkProven(true)
	a.markWentOn()
	a.end(false)
	x.current = nil
	if x.framing() == http1.FramingChunked {
		x.conn.write(http1.AppendLastChunk(nil))
	}
	x.finishAnswered(status, routeText(a.route))
}
