package passthrough

import (
	"net/http"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/memory"
)

const (
	// maxBufferedAnswer bounds the buffered part of an answer in bytes. Answers up to it are forwarded once they are complete, so that
	// a failed attempt can be repeated; longer ones are forwarded as they arrive.
	maxBufferedAnswer = 1 << 20
	// smallAnswer is how much of an answer, or of its head or an event, is held however much others hold.
	smallAnswer = 16 << 10
)

// errNoMemoryForAnswer is why an attempt ends whose answer can neither be held nor passed on.
var errNoMemoryForAnswer = errors.New("there is no memory to hold more of the answer, which cannot be passed on yet")

// mayHold reports whether there is memory for a number of bytes of an answer that cannot be passed on yet.
func mayHold(account *memory.Account, bytes int) bool {
	return bytes <= smallAnswer || account.MayHoldAnswers()
}

// recordHeld brings the account up to date.
func (a *attempt) recordHeld() {
	held := a.buffered.size
	if a.events != nil {
		held += a.events.Pending()
	}
	a.setHeld(held)
}

// setHeld records how many bytes of the answer the attempt holds.
func (a *attempt) setHeld(bytes int) {
	if bytes != a.held {
		a.exchange.server.account.Add(memory.CauseAnswer, int64(bytes-a.held))
		a.held = bytes
	}
}

// bufferPiece buffers a piece of an answer. An answer that becomes too long for that is forwarded from then on, unless it is no
// success: the request may then run again.
func (a *attempt) bufferPiece(piece []byte) {
	a.buffered.append(piece)
	a.recordHeld()
	if a.buffered.size <= maxBufferedAnswer && mayHold(a.exchange.server.account, a.buffered.size) {
		return
	}
	if a.isFailure() {
		a.failTooLong()
		return
	}
	if a.exchange.machine.IsAnswerStarted() || len(a.exchange.held) > 0 && !a.isSuccess() {
		a.fail(exchange.FailureLost, errors.Errorf("an answer of more than %d bytes that does not continue the stream", a.buffered.size))
		return
	}
	a.goOn()
	a.forwarding = true
	a.startAnswer()
	for _, held := range a.buffered.pieces {
		a.forwardPiece(held)
	}
	a.dropBuffered()
}

// dropBuffered forgets what was buffered.
func (a *attempt) dropBuffered() {
	a.buffered = bodyBuffer{}
	a.recordHeld()
}

// isFailure reports whether the answer that has begun says that the request has failed or has not run.
func (a *attempt) isFailure() bool {
	status := a.response.StatusCode
	return a.answerHeaders.NotRun || status >= http.StatusInternalServerError || impliesNotRun(status)
}

// failTooLong ends the attempt as its answer, which is no success, does not end.
func (a *attempt) failTooLong() {
	cause := errors.Errorf("an answer with status %d and more than %d bytes", a.response.StatusCode, a.buffered.size)
	a.dropBuffered()
	switch {
	case !a.answerHeaders.NotRun:
		a.excludeFirst()
		a.fail(exchange.FailureLost, cause)
	case a.peer != nil:
		a.fail(exchange.FailureRefused, cause)
	default:
		a.handleRefusal()
	}
}

// forwardAnswer forwards an attempt's buffered answer unchanged.
func (x *callerExchange) forwardAnswer(a *attempt) {
	x.closeAfterAnswer = x.closesConnection()
	x.recordPiece()
	x.conn.writeBuffered(a.response.StatusCode, http1.EndToEndFields(a.response.Header), &a.buffered, x.closeAfterAnswer)
	x.finishAnswered(a.response.StatusCode, routeText(a.route))
}
