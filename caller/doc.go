// Package caller is the interface towards callers, in HTTP's own conventions.
//
//	POST   /v1/services/{service}/requests   Submission; answers 200 with server-sent
//	       events (pipeline services), 200 with JSON (plain services), or 202 with
//	       Location when "Prefer: respond-async" was asked
//	GET    /v1/requests/{id}                 resumes behind Last-Event-ID, at any daemon
//	DELETE /v1/requests/{id}                 cancels
//	GET    /healthz, /readyz, /metrics
//
// Headers of a submission: "Authorization: Bearer TOKEN", "Idempotency-Key",
// "Request-Timeout: 5s", "traceparent". The answer carries "Request-Id".
//
// The id of an event is the token's position and a digest of the answer up to it, such as
// "12-1a2b3c4d"; callers send it back as they got it. If another daemon has begun the answer
// anew meanwhile, the fetch ends with 412: the caller drops what it has and fetches the whole.
//
// Every refusal and failure is a Problem (RFC 9457). Its outcome is "not-run"
// (503, 429 or 4xx; with Retry-After where a repeat can help) or "unknown"
// (504 or 409). A stream that fails after its start ends in an "error" event
// with the same Problem; a whole one ends in an "end" event with an End.
package caller
