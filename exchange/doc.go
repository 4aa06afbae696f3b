// Package exchange decides what happens after a failure of an exchange: whether
// the request may be sent again, and what its caller is told. An exchange consists
// of a caller's request, which is forwarded to an endpoint, and the answer, which
// is forwarded back.
//
// A Machine is the state machine of one request. It does no I/O and has no
// clock. These invariants hold for any order of failures:
//
//   - a request that is not repeatable is sent again only after a failure which
//     proves that it has not run and never will;
//   - no request runs more than Config.MaxRuns times;
//   - VerdictNotRun is only given if no attempt can have run;
//   - once a part of the answer has been sent to the caller, the answer either
//     continues in a further attempt, at the same or another endpoint, or is cut
//     off; it never looks complete when it is not.
//
// An EventSplitter splits a stream into complete events, so that an answer is
// only ever interrupted between two of them.
package exchange
