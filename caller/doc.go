// Package caller serves the HTTP interface for callers.
//
//	POST   /v1/services/{service}/requests   Submission; answers 200 with server-sent
//	       events (pipeline services), 200 with JSON (plain services), or 202 with
//	       Location if "Prefer: respond-async" was sent
//	GET    /v1/requests/{id}                 fetches the answer, or resumes it after
//	       Last-Event-ID, at any daemon
//	DELETE /v1/requests/{id}                 cancels the request
//	GET    /healthz, /readyz, /metrics
//
// The headers of a submission are "Authorization: Bearer TOKEN", "Idempotency-Key",
// "Request-Timeout: 5s" and "traceparent". The answer has "Request-Id".
//
// The ID of an event consists of the token's position and a digest of the answer up to it, such as
// "12-1a2b3c4d". To resume, callers send it back unchanged. If another daemon has started the answer
// again in the meantime, the status is 412, and the caller must drop what it has and fetch the
// complete answer.
//
// Every refusal and failure is a Problem (RFC 9457). Its outcome is "not-run" (503, 429 or 4xx; with
// Retry-After if a repeat can help) or "unknown" (504 or 409). A stream that fails after its start
// ends with an "error" event that contains the Problem; a complete stream ends with an "end" event
// that contains an End.
package caller
