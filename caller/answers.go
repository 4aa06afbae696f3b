package caller

import (
	"net/http"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/stream"
)

// requestPath is the beginning of the path of a request.
const requestPath = "/v1/requests/"

// answerWriter is a chicoryhall.Follower that writes the complete answer as JSON at the end.
type answerWriter struct {
	x      *exchange
	tokens []digest.Token
	ended  bool
}

// OnAccepted writes nothing.
func (w *answerWriter) OnAccepted() {}

// OnTokens collects the answer. Nothing has been written yet, so tokens that are repeated, from
// another daemon, may replace earlier ones.
func (w *answerWriter) OnTokens(position int, tokens []digest.Token) {
	w.tokens = append(w.tokens[:min(position, len(w.tokens))], tokens...)
}

// OnFinish ends the answer; see writeResult.
func (w *answerWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	w.x.writeResult(result, w.tokens)
}

// writeResult writes the answer or a Problem. If another daemon has taken over the request, it
// closes the connection instead, so that the caller asks again.
func (x *exchange) writeResult(result chicoryhall.Result, tokens []digest.Token) {
	switch {
	case result.Reason == stream.ReasonTakenOver.String():
		x.closeConnection()
	case result.Outcome == chicoryhall.OutcomeAnswered:
		x.writeJSON(http.StatusOK, "", Answer{Request: x.id, Outcome: result.Outcome, Tokens: tokens, Body: result.Body})
	default:
		x.writeProblem(problemOf(x.id, result))
	}
}

// acceptWriter is a chicoryhall.Follower that answers 202 once the request is accepted.
type acceptWriter struct {
	x     *exchange
	ended bool
}

// OnAccepted writes where the answer can be fetched later.
func (w *acceptWriter) OnAccepted() {
	if w.ended {
		return
	}
	w.ended = true
	w.x.writeJSON(http.StatusAccepted, requestPath+string(w.x.id), Pending{Request: w.x.id})
}

// OnTokens writes nothing.
func (w *acceptWriter) OnTokens(int, []digest.Token) {}

// OnFinish writes the result of a request that ended before it was accepted.
func (w *acceptWriter) OnFinish(result chicoryhall.Result) {
	if w.ended {
		return
	}
	w.ended = true
	w.x.writeResult(result, nil)
}

// pollTimeout is how long a fetch waits for the end of a request.
const pollTimeout = 500 * time.Millisecond

// pollWriter is a chicoryhall.Follower that writes the result, or a Pending if writePending is
// called first.
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

// OnFinish writes the result.
func (w *pollWriter) OnFinish(result chicoryhall.Result) {
	if tokens, first := w.finish(); first {
		w.x.writeResult(result, tokens)
	}
}

// writePending writes that the answer is not complete yet.
func (w *pollWriter) writePending() {
	if tokens, first := w.finish(); first {
		w.x.writeJSON(http.StatusAccepted, requestPath+string(w.x.id), Pending{Request: w.x.id, Position: len(tokens)})
	}
}

func (w *pollWriter) finish() (tokens []digest.Token, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first = !w.ended
	w.ended = true
	return w.tokens, first
}

// discardingFollower is a chicoryhall.Follower that does nothing. It serves to find out whether a
// request can be followed.
type discardingFollower struct{}

// OnAccepted does nothing.
func (*discardingFollower) OnAccepted() {}

// OnTokens does nothing.
func (*discardingFollower) OnTokens(int, []digest.Token) {}

// OnFinish does nothing.
func (*discardingFollower) OnFinish(chicoryhall.Result) {}
