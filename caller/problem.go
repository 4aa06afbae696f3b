package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/requests"
	"chicoryhall.example/chicoryhall/stream"
)

// problemType is the beginning of the type of each Problem; the rest is the reason.
const problemType = "urn:chicoryhall:problem:"

// The reasons of problems that are not made from the result of a request (see problemOf).
const (
	reasonMalformed    = "malformed"
	reasonTooLarge     = "too-large"
	reasonUnauthorized = "unauthorized"
	reasonNotFound     = "not-found"
	reasonMethod       = "method"
	reasonNotReady     = "not-ready" // not given at present
	reasonShutdown     = "shutdown"
	reasonRestarted    = "begun-anew"
	reasonInternal     = "internal"
)

// newProblem returns the Problem of a request that was not run.
func newProblem(status int, reason, field, detail string) Problem {
	return Problem{
		Type: problemType + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, Field: field, Outcome: chicoryhall.OutcomeNotRun,
	}
}

func malformedProblem(field, detail string) Problem {
	return newProblem(http.StatusBadRequest, reasonMalformed, field, detail)
}

// tooLargeProblem returns the Problem of a body longer than maxBodyBytes, or of a whole message longer
// than maxBodyBytes+headerAllowance. It names only maxBodyBytes.
func tooLargeProblem() Problem {
	return newProblem(http.StatusRequestEntityTooLarge, reasonTooLarge, "body",
		"the message is longer than "+strconv.Itoa(maxBodyBytes)+" bytes")
}

func unauthorizedProblem() Problem {
	return newProblem(http.StatusUnauthorized, reasonUnauthorized, "Authorization",
		"the header must be \"Bearer TOKEN\" with a token of an organisation that may call the service")
}

func unknownRequestProblem(id chicoryhall.RequestID) Problem {
	problem := newProblem(http.StatusNotFound, reasonNotFound, "id", "no daemon in reach knows the request, or it is not yours")
	problem.Outcome = chicoryhall.OutcomeUnknown
	problem.Request = id
	return problem
}

// restartedProblem returns the Problem for a caller whose tokens do not match the answer any more.
func restartedProblem(id chicoryhall.RequestID) Problem {
	problem := newProblem(http.StatusPreconditionFailed, reasonRestarted, HeaderLastEventID,
		"another daemon has begun the answer anew; fetch it without Last-Event-ID for the whole of it")
	problem.Outcome = chicoryhall.OutcomeUnknown
	problem.Request = id
	return problem
}

// problemOf returns the Problem of a result without an answer.
func problemOf(id chicoryhall.RequestID, result chicoryhall.Result) Problem {
	status := statusOf(result)
	problem := Problem{
		Type: problemType + result.Reason, Title: http.StatusText(status), Status: status,
		Detail: detailOf(result), Outcome: result.Outcome, Request: id,
		RetryAfterSeconds: ceilSeconds(result.RetryAfter),
	}
	if result.Reason == requests.ReasonKeyReused {
		problem.Field = HeaderIdempotencyKey
	}
	return problem
}

// statusOf returns the HTTP status code of a result without an answer.
func statusOf(result chicoryhall.Result) int {
	switch result.Reason {
	case requests.ReasonKeyReused, stream.ReasonQuarantined.String():
		return http.StatusUnprocessableEntity
	case requests.ReasonClaimTaken, stream.ReasonCancelled.String():
		return http.StatusConflict
	}
	if result.Reason == stream.ReasonRateLimit.String() {
		return http.StatusTooManyRequests
	}
	if result.Outcome == chicoryhall.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// detailOf describes a result without an answer in a sentence: whether the request may have run, and
// after the colon why there is no answer. If the result has a body, that is the second part.
func detailOf(result chicoryhall.Result) string {
	text := result.Body
	if text == "" {
		text = detailOfReason(result.Reason)
	}
	if result.Outcome == chicoryhall.OutcomeNotRun {
		return "the request was not run: " + text
	}
	return "the request may have run: " + text
}

func detailOfReason(reason string) string {
	for _, known := range reasonDetails {
		if known.reason == reason {
			return known.detail
		}
	}
	return reason
}

// reasonDetails describes the reasons. A request that was not found after its owner failed has the
// reason text of ReasonNoBackup too (see package holder), and thus the same description.
var reasonDetails = []struct{ reason, detail string }{
	{stream.ReasonNoRoute.String(), "no ready endpoints serve it now"},
	{stream.ReasonDeadline.String(), "its deadline passed"},
	{stream.ReasonCancelled.String(), "it was cancelled"},
	{stream.ReasonEndpointLimit.String(), "it failed at as many endpoints as the service allows"},
	{stream.ReasonRetryBudget.String(), "the service's retry budget is spent"},
	{stream.ReasonQuarantined.String(), "requests with its content crashed endpoints"},
	{stream.ReasonNotIdempotent.String(), "an endpoint failed and the class may not be run again"},
	{stream.ReasonRateLimit.String(), "the organisation is over its requests per second"},
	{stream.ReasonOverload.String(), "the service is overloaded"},
	{stream.ReasonNoBackup.String(), "no second daemon could hold it"},
	{stream.ReasonClaimFailed.String(), "the claim that lets it run once could not be confirmed"},
	{stream.ReasonEndpointFailed.String(), "its endpoint failed"},
	{stream.ReasonEndpointSilent.String(), "its endpoint stopped answering"},
	{stream.ReasonEndpointRefused.String(), "its endpoint refused it"},
	{requests.ReasonKeyReused, "the idempotency key was used with another request"},
	{requests.ReasonClaimTaken, "another try with the idempotency key is running or ended without a known outcome"},
	{requests.ReasonCallFailed, "the endpoint did not answer after it got the call"},
}

func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// appendProblem appends a complete HTTP answer with the problem.
func appendProblem(buffer []byte, problem Problem, closeAfter bool) []byte {
	body, err := json.Marshal(problem)
	if err != nil {
		body = []byte(`{}`)
	}
	head := answerHead{status: problem.Status, mediaType: MediaTypeProblem, request: problem.Request, closeAfter: closeAfter, retryAfter: problem.RetryAfterSeconds}
	buffer = head.append(buffer, len(body))
	return append(buffer, body...)
}
