package passthrough

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/exchange"
	"chicoryhall.example/chicoryhall/http1"
)

// takeHead decides how the answer is passed on.
func (a *attempt) takeHead(response *http.Response) {
	a.response = response
	a.terms = a.run.parts().Dialect.ParseAnswer(response)
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
	case isPromise(status):
		a.avoidFirst()
		a.fail(exchange.FailureLost, errors.Errorf("the endpoint answered with status %d and did not say that it ran nothing", status))
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

// isPromise tells whether callers take a status for word that the request has not run: an endpoint
// that does not say so itself gives no such word, and its answer must not be passed on.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
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
