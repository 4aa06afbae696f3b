package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
)

// maxBody is the maximum number of bytes read of a response that is not a stream.
const maxBody = 1 << 20

// inFlightRequest is a request in progress.
type inFlightRequest struct {
	client        *Client
	request       *Request
	exchange      *Exchange
	id            chicoryhall.RequestID // the ID given by the daemon, or "" if the request has to be submitted
	lastEventID   string                // the ID of the last token event
	lastTokenTime time.Time             // when the last token was received
}

// run submits the request, and resumes or resubmits it after lost connections, until it has ended or ctx is done. The
// request has ended when the end of the answer, or a Problem that says why there is none, has been received.
func (r *inFlightRequest) run(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := r.send(ctx)
		if err != nil {
			waitBeforeRetry(ctx)
			continue
		}
		ended := r.readResponse(response)
		response.Body.Close()
		if ended {
			return
		}
		waitBeforeRetry(ctx)
	}
}

// send submits the request, or resumes its answer if the request is known to have an ID.
func (r *inFlightRequest) send(ctx context.Context) (*http.Response, error) {
	if r.id == "" {
		return r.client.submit(ctx, r.request)
	}
	r.exchange.ResumeAttempts++
	return r.client.resume(ctx, r.request, r.id, r.lastEventID)
}

// readResponse reads one HTTP response and reports whether the request has ended.
func (r *inFlightRequest) readResponse(response *http.Response) bool {
	r.recordID(response)
	switch {
	case response.StatusCode == http.StatusOK && isStream(response):
		return r.readStream(response.Body)
	case response.StatusCode == http.StatusOK:
		return r.readAnswer(response.Body)
	case response.StatusCode == http.StatusAccepted:
		return false // The answer is not complete yet.
	case response.StatusCode == http.StatusNotFound && r.id != "":
		// No daemon knows the request any more, so it is submitted again with the same idempotency key.
		r.discardAnswer()
		r.id = ""
		return false
	case response.StatusCode == http.StatusPreconditionFailed && r.lastEventID != "":
		// Another daemon has started the answer again from the beginning.
		r.discardAnswer()
		return false
	}
	return r.readProblem(response.Body)
}

// recordID records the ID that the daemon gave the request.
func (r *inFlightRequest) recordID(response *http.Response) {
	id := chicoryhall.RequestID(response.Header.Get(caller.HeaderRequestID))
	if id == "" || id == r.id {
		return
	}
	r.id = id
	r.exchange.IDs = append(r.exchange.IDs, id)
}

// discardAnswer discards the tokens received so far, so that the answer is fetched from its beginning. The times recorded
// for these tokens stay, and so does lastTokenTime, so that the pause until the first token of the new answer is recorded
// too.
func (r *inFlightRequest) discardAnswer() {
	r.lastEventID = ""
	r.exchange.Restarted++
	r.exchange.Tokens = nil
}

// readStream reads server-sent events and reports whether the request has ended.
func (r *inFlightRequest) readStream(body io.Reader) bool {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return false
		}
		switch event.Type {
		case caller.EventEnd:
			return r.handleEnd(event.Data)
		case caller.EventError:
			return r.readErrorEvent(event.Data)
		case "": // Events without a type contain a token.
			r.handleToken(event)
		}
	}
	return false
}

// readErrorEvent reads the Problem that ends a stream and reports whether the request has ended. It has not if the
// status is 412: another daemon has started the answer again, and it can be fetched from its beginning.
func (r *inFlightRequest) readErrorEvent(data string) bool {
	var problem caller.Problem
	if json.Unmarshal([]byte(data), &problem) == nil && problem.Status == http.StatusPreconditionFailed {
		r.discardAnswer()
		return false
	}
	return r.readProblem(strings.NewReader(data))
}

// handleEnd handles the event that ends an answer and reports whether it could be decoded. If not, the request has not
// ended, and the answer is resumed. If the event states another number of tokens than were received, the request has
// ended, but this counts once in Skipped.
func (r *inFlightRequest) handleEnd(data string) bool {
	var end caller.End
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return false
	}
	if end.Tokens != len(r.exchange.Tokens) {
		r.exchange.Skipped++
	}
	r.exchange.Ending = EndedAnswered
	return true
}

// handleToken handles the event of one token. Its ID is the token's position, followed by "-" and a hash of the answer
// so far.
func (r *inFlightRequest) handleToken(event sse.Event) {
	var token caller.TokenEvent
	positionText, _, _ := strings.Cut(event.LastEventID, "-")
	position, err := strconv.Atoi(positionText)
	if err != nil || json.Unmarshal([]byte(event.Data), &token) != nil {
		r.exchange.Skipped++
		return
	}
	switch expected := len(r.exchange.Tokens); {
	case position < expected:
		r.exchange.Repeated++
		return
	case position > expected:
		r.exchange.Skipped++
	}
	r.exchange.Tokens = append(r.exchange.Tokens, token.Token)
	r.lastEventID = event.LastEventID
	r.recordTokenTime()
}

// recordTokenTime records the time of the token just received, relative to the previous one. The time of the first token
// is relative to the start of the request.
func (r *inFlightRequest) recordTokenTime() {
	now := time.Now()
	r.client.meter.add(now)
	if r.exchange.FirstToken == 0 {
		r.exchange.FirstToken = now.Sub(r.exchange.Started)
		r.lastTokenTime = now
		return
	}
	interval := now.Sub(r.lastTokenTime)
	r.exchange.TokenIntervals = append(r.exchange.TokenIntervals, interval)
	if interval > minRecordedPause {
		r.exchange.Pauses = append(r.exchange.Pauses, TokenPause{From: r.lastTokenTime, To: now})
	}
	r.lastTokenTime = now
}

// readAnswer reads an answer that is not streamed and reports whether it could be decoded.
func (r *inFlightRequest) readAnswer(body io.Reader) bool {
	var answer caller.Answer
	if err := json.NewDecoder(io.LimitReader(body, maxBody)).Decode(&answer); err != nil {
		return false
	}
	r.exchange.FirstToken = time.Since(r.exchange.Started)
	r.exchange.Body = answer.Body
	r.exchange.Tokens = answer.Tokens
	r.exchange.Ending = endingOf(answer.Outcome)
	return true
}

// readProblem reads the Problem of a request that ended without an answer, and reports whether it could be decoded.
func (r *inFlightRequest) readProblem(body io.Reader) bool {
	var problem caller.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxBody)).Decode(&problem); err != nil {
		return false
	}
	r.exchange.Detail = problem.Detail
	r.exchange.HasRetryAfter = problem.RetryAfterSeconds > 0
	if problem.Request != "" && problem.Request != r.id {
		r.exchange.IDs = append(r.exchange.IDs, problem.Request)
	}
	r.exchange.Ending = endingOf(problem.Outcome)
	if isRejection(problem.Status) {
		r.exchange.Ending = EndedRejected
	}
	return true
}

// isRejection reports whether a status means that the request is invalid or not permitted. The status 429, for a rate
// limit, and 409, for a request that was cancelled or whose key is claimed, say nothing about the request itself.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusConflict
}

// endingOf returns the ending for the outcome that a daemon reported. It returns EndedUnknown if the outcome is neither
// answered nor not run, or if none was reported.
func endingOf(outcome chicoryhall.Outcome) Ending {
	switch outcome {
	case chicoryhall.OutcomeAnswered:
		return EndedAnswered
	case chicoryhall.OutcomeNotRun:
		return EndedNotRun
	}
	return EndedUnknown
}

func isStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), caller.MediaTypeEvents)
}

// waitBeforeRetry waits until retryDelay has passed or ctx is done.
func waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}
