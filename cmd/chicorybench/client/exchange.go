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

// maxBody is the maximum number of bytes read of an answer that is not a stream.
const maxBody = 1 << 20

// inFlight is a request in progress.
type inFlight struct {
	client    *Client
	request   *Request
	result    *Exchange
	id        chicoryhall.RequestID
	lastEvent string
	lastToken time.Time
}

// run submits the request, and resumes or resubmits it after lost connections, until there is a final answer.
func (e *inFlight) run(ctx context.Context) {
	for ctx.Err() == nil {
		response, err := e.send(ctx)
		if err != nil {
			pause(ctx)
			continue
		}
		final := e.read(response)
		response.Body.Close()
		if final {
			return
		}
		pause(ctx)
	}
}

func (e *inFlight) send(ctx context.Context) (*http.Response, error) {
	if e.id == "" {
		return e.client.submit(ctx, e.request)
	}
	e.result.Resumed++
	return e.client.resume(ctx, e.request, e.id, e.lastEvent)
}

// read reads one HTTP response and reports whether it was final.
func (e *inFlight) read(response *http.Response) bool {
	e.recordID(response)
	switch {
	case response.StatusCode == http.StatusOK && isStream(response):
		return e.readStream(response.Body)
	case response.StatusCode == http.StatusOK:
		return e.readAnswer(response.Body)
	case response.StatusCode == http.StatusAccepted:
		return false
	case response.StatusCode == http.StatusNotFound && e.id != "":
		e.restart()
		e.id = ""
		return false
	case response.StatusCode == http.StatusPreconditionFailed && e.lastEvent != "":
		e.restart()
		return false
	}
	return e.readProblem(response.Body)
}

func (e *inFlight) recordID(response *http.Response) {
	id := chicoryhall.RequestID(response.Header.Get(caller.HeaderRequestID))
	if id == "" || id == e.id {
		return
	}
	e.id = id
	e.result.IDs = append(e.result.IDs, id)
}

// restart discards the tokens received so far, as the answer starts from the beginning.
func (e *inFlight) restart() {
	e.lastEvent = ""
	e.result.Restarted++
	e.result.Tokens = nil
}

func (e *inFlight) readStream(body io.Reader) bool {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return false
		}
		switch event.Type {
		case caller.EventEnd:
			return e.handleEnd(event.Data)
		case caller.EventError:
			return e.readErrorEvent(event.Data)
		case "":
			e.handleToken(event)
		}
	}
	return false
}

// readErrorEvent reads a Problem that ends a stream. If it says that the answer has been restarted, it is not
// final, as the complete new answer can be fetched.
func (e *inFlight) readErrorEvent(data string) bool {
	var problem caller.Problem
	if json.Unmarshal([]byte(data), &problem) == nil && problem.Status == http.StatusPreconditionFailed {
		e.restart()
		return false
	}
	return e.readProblem(strings.NewReader(data))
}

// handleEnd handles the end event. If the number of tokens differs from the one stated, that counts as skipped tokens.
func (e *inFlight) handleEnd(data string) bool {
	var end caller.End
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return false
	}
	if end.Tokens != len(e.result.Tokens) {
		e.result.Skipped++
	}
	e.result.Ending = EndedAnswered
	return true
}

func (e *inFlight) handleToken(event sse.Event) {
	var token caller.TokenEvent
	text, _, _ := strings.Cut(event.LastEventID, "-")
	position, err := strconv.Atoi(text)
	if err != nil || json.Unmarshal([]byte(event.Data), &token) != nil {
		e.result.Skipped++
		return
	}
	switch expected := len(e.result.Tokens); {
	case position < expected:
		e.result.Repeated++
		return
	case position > expected:
		e.result.Skipped++
	}
	e.result.Tokens = append(e.result.Tokens, token.Token)
	e.lastEvent = event.LastEventID
	e.recordTokenTime()
}

func (e *inFlight) recordTokenTime() {
	now := time.Now()
	e.client.meter.add(now)
	if e.result.FirstToken == 0 {
		e.result.FirstToken = now.Sub(e.result.Started)
		e.lastToken = now
		return
	}
	gap := now.Sub(e.lastToken)
	e.result.Gaps = append(e.result.Gaps, gap)
	if gap > minRecordedPause {
		e.result.Pauses = append(e.result.Pauses, Pause{From: e.lastToken, To: now})
	}
	e.lastToken = now
}

func (e *inFlight) readAnswer(body io.Reader) bool {
	var answer caller.Answer
	if err := json.NewDecoder(io.LimitReader(body, maxBody)).Decode(&answer); err != nil {
		return false
	}
	e.result.FirstToken = time.Since(e.result.Started)
	e.result.Body = answer.Body
	e.result.Tokens = answer.Tokens
	e.result.Ending = endingOf(answer.Outcome)
	return true
}

func (e *inFlight) readProblem(body io.Reader) bool {
	var problem caller.Problem
	if err := json.NewDecoder(io.LimitReader(body, maxBody)).Decode(&problem); err != nil {
		return false
	}
	e.result.Detail = problem.Detail
	e.result.RetryAfter = problem.RetryAfterSeconds > 0
	if problem.Request != "" && problem.Request != e.id {
		e.result.IDs = append(e.result.IDs, problem.Request)
	}
	e.result.Ending = endingOf(problem.Outcome)
	if isRejection(problem.Status) {
		e.result.Ending = EndedRejected
	}
	return true
}

// isRejection reports whether a status means that the request itself is invalid.
func isRejection(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusConflict
}

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

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
