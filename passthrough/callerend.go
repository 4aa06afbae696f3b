package passthrough

import (
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/quarantine"
)

// ending is why an exchange ends before its answer, and what that means.
type ending struct {
	// lossCause is how the attempt in progress is lost.
	lossCause quarantine.LossCause
	// unknownStatus is the status of the answer if the request may have run, and retryAfter the Retry-After time if it has not.
	unknownStatus int
	retryAfter    time.Duration
	reason        string
}

// endNow ends the exchange, which may be waiting for admission or have an attempt in progress.
func (x *callerExchange) endNow(e ending) {
	running := x.current != nil && x.current.sending.revoke() != nil
	if running {
		x.current.reportLoss(e.lossCause)
	}
	x.endAttempts((*attempt).endLate)
	switch x.machine.FinalVerdict(running) {
	case exchange.VerdictCut:
		x.cutOff(e.reason)
	case exchange.VerdictNotRun:
		x.refuse(http.StatusServiceUnavailable, e.retryAfter, e.reason)
	default: // VerdictUnknown.
		x.answerError(e.unknownStatus, event.ExchangeFailed, e.reason)
	}
}

// refuse ends the exchange with an answer of this daemon: the request did not run and never will. If after is not 0,
// the answer has a Retry-After header with that time.
func (x *callerExchange) refuse(status int, after time.Duration, reason string) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if after > 0 {
		header.Set("Retry-After", secondsText(after))
	}
	x.config().Metrics.exchangeRefused()
	x.writeAnswer(status, header, event.ExchangeRefused, reason)
}

// answerError ends the exchange with an error answer that comes from this daemon rather than from an endpoint.
func (x *callerExchange) answerError(status int, kind *event.Event, reason string) {
	x.writeAnswer(status, http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, kind, reason)
}

func (x *callerExchange) writeAnswer(status int, header http.Header, kind *event.Event, reason string) {
	x.markOwnAnswer(header, status)
	x.closeAfterAnswer = x.closesConnection()
	x.conn.writeOwn(x.head.Method, status, header, reason, x.closeAfterAnswer)
	x.finish(kind, status, reason)
	x.conn.exchangeEnded(x.closeAfterAnswer)
}

// cutOff closes the caller's connection in the middle of the answer, so that the caller sees that it is
// incomplete. An answer that ends with its connection would look complete without a reset.
func (x *callerExchange) cutOff(reason string) {
	x.finish(event.ExchangeCutOff, 0, reason)
	x.conn.current = nil
	x.conn.closing = true
	if x.framing() == http1.FramingClose {
		x.conn.socket.Reset()
		return
	}
	x.conn.socket.Close()
}

// closesConnection reports whether the connection must be closed after an answer whose head is written now. A draining server
// answers the requests that were read behind it before.
func (x *callerExchange) closesConnection() bool {
	return x.head.Close || !x.head.ProtoAtLeast(1, 1) || x.server.IsDraining() && x.conn.reader.Buffered() == 0
}

// finish releases what the exchange holds and logs the result.
func (x *callerExchange) finish(kind *event.Event, status int, detail string) {
	x.finished = true
	x.conn.holdsBack.Store(false)
	x.config().Memory.Release(int64(len(x.body)))
	x.checkTimer.cancel()
	x.server.removeExchange(x)
	if x.permit != nil {
		x.permit.Release()
	}
	x.endLastPause(kind)
	took := x.config().Timer.Now().Sub(x.startedAt)
	x.config().Metrics.exchangeEnded(x.class.Name, status, took)
	fields := []any{
		"request", x.callerHeaders.ID, "status", status, "service", x.service, "class", x.class.Name,
		"organisation", x.organisation, "rules", x.rulesVersion, "attempts", x.attempts, "took", took,
		"first", x.timeToFirst, "longestGap", x.longestGap,
	}
	x.config().Log.Log(kind, append(append(fields, x.pauses.logFields()...), "detail", detail)...)
}

// finishAnswered ends an exchange whose complete answer has been written.
func (x *callerExchange) finishAnswered(status int, detail string) {
	x.finish(event.ExchangeAnswered, status, detail)
	x.conn.exchangeEnded(x.closeAfterAnswer)
}

// framing returns how an answer of unknown length is framed for the caller.
func (x *callerExchange) framing() http1.Framing {
	if x.head.ProtoAtLeast(1, 1) {
		return http1.FramingChunked
	}
	return http1.FramingClose
}
