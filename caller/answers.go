package caller

import (
	"net/http"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/stream"
)

// requestPath starts the path of a request.
const requestPath = "/v1/requests/"

// wholeWriter is a chicoryhall.Follower that writes one JSON answer at the end.
type wholeWriter struct {
	x      *exchange
	tokens []digest.Token
	ended  bool
}

// OnAccepted writes nothing.
func (w *wholeWriter) OnAccepted() {}

// OnTokens collects the answer; tokens that come again take the place of the older ones, of which
// the caller has none.
func (w *wholeWriter) OnTokens(position int, tokens []digest.Token) {
	w.tokens = append(w.tokens[:min(position, len(w.tokens))], tokens...)
}

// OnFinish writes the answer or a Problem.
func (w *wholeWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	w.x.finished(result, w.tokens)
}

// finished writes what became of a request.
func (x *exchange) finished(result chicoryhall.Result, tokens []digest.Token) {
	switch {
	case result.Reason == stream.ReasonReplaced.String():
		x.cut()
	case result.Outcome == chicoryhall.OutcomeAnswered:
		x.answer(http.StatusOK, "", Answer{Request: x.id, Outcome: result.Outcome, Tokens: tokens, Body: result.Body})
	default:
		x.problem(problemOf(x.id, result))
	}
}

// acceptWriter is a chicoryhall.Follower that answers 202 once the request is held.
type acceptWriter struct {
	x     *exchange
	ended bool
}

// OnAccepted writes where the answer can be fetched.
func (w *acceptWriter) OnAccepted() {
	if w.ended {
		return
	}
	w.ended = true
	w.x.answer(http.StatusAccepted, requestPath+string(w.x.id), Pending{Request: w.x.id})
}

// OnTokens writes nothing.
func (w *acceptWriter) OnTokens(int, []digest.Token) {}

// OnFinish writes a refusal that came before the acceptance.
func (w *acceptWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	w.x.finished(result, nil)
}

// pollWait is the time that a fetch waits for the end of a request.
const pollWait = 500 * time.Millisecond

// pollWriter is a chicoryhall.Follower that answers at the end, or with what is known when pending is called.
type pollWriter struct {
	x *exchange

	mu     sync.Mutex
	tokens []digest.Token
	ended  bool
}

// OnAccepted writes nothing.
func (w *pollWriter) OnAccepted() {}

// OnTokens collects the answer so far.
func (w *pollWriter) OnTokens(position int, tokens []digest.Token) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = append(w.tokens[:min(position, len(w.tokens))], tokens...)
}

// OnFinish writes the whole answer.
func (w *pollWriter) OnFinish(result chicoryhall.Result) {
	if tokens, first := w.end(); first {
		w.x.finished(result, tokens)
	}
}

// pending tells that the answer is not whole yet.
func (w *pollWriter) pending() {
	if tokens, first := w.end(); first {
		w.x.answer(http.StatusAccepted, requestPath+string(w.x.id), Pending{Request: w.x.id, Position: len(tokens)})
	}
}

func (w *pollWriter) end() (tokens []digest.Token, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first = !w.ended
	w.ended = true
	return w.tokens, first
}

// ignoringFollower is a chicoryhall.Follower that wants to know only whether a request exists.
type ignoringFollower struct{}

// OnAccepted does nothing.
func (*ignoringFollower) OnAccepted() {}

// OnTokens does nothing.
func (*ignoringFollower) OnTokens(int, []digest.Token) {}

// OnFinish does nothing.
func (*ignoringFollower) OnFinish(chicoryhall.Result) {}
