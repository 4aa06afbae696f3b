// Package caller serves the HTTP interface for callers.
//
//	POST   /v1/services/{service}/requests   Submission; a plain service answers 200
//	       with JSON, a pipeline service 200 with server-sent events or, if
//	       "Prefer: respond-async" was sent, 202 with Location
//	GET    /v1/requests/{id}                 fetches the answer, or resumes it after
//	       Last-Event-ID, at any daemon
//	DELETE /v1/requests/{id}                 cancels the request
//	GET    /healthz, /readyz, /metrics
//
// A pipeline service answers a prompt with a stream of tokens; a plain service runs an operation and
// answers with a body (see package chicoryhall).
//
// The headers of a submission are "Authorization: Bearer TOKEN", "Idempotency-Key",
// "Request-Timeout: 5s" and "traceparent". Once the request has an ID, the answer has "Request-Id",
// except for the 204 that confirms a cancellation.
//
// The ID of an event consists of the token's position and a digest of the answer up to it, such as
// "12-1a2b3c4d". To resume, callers send it back unchanged. If another daemon has started the answer
// again in the meantime, the status is 412, and the caller must drop what it has and fetch the
// complete answer.
//
// Every refusal and failure is a Problem (RFC 9457), except in these cases: /readyz answers 503 with
// plain text; over TLS, a message that is too long or not HTTP/1.1 gets no answer, but its connection
// is closed; and so is the connection if another daemon has taken over the request, so that the
// caller fetches the answer again. The outcome of a Problem is "not-run" (for example 503, 429 or
// 400, or 409 if the request was cancelled before it ran; with Retry-After if a repeat can help) or
// "unknown" (504, 409, 412 or, for a request that no daemon knows, 404). A stream that fails after its start ends with an "error" event that contains
// the Problem; a complete stream ends with an "end" event that contains an End.
package caller
