// Package exchange decides what happens after a failure of an exchange, which is
// a caller's request that is forwarded to an endpoint together with its answer:
// whether the request may be sent again, and what its caller is told.
//
// A Machine is the state machine of one request. It does no I/O and has no
// clock. These invariants hold for any order of failures:
//
//   - a request that is not repeatable is sent again only after a failure which
//     proves that it has not run and never will;
//   - it runs no more often than Config.MaxRuns;
//   - VerdictNotRun is only given if no attempt can have run;
//   - once a part of the answer has been sent to the caller, the answer either
//     continues from another endpoint or is cut off; it never looks complete
//     when it is not.
//
// An EventSplitter splits a stream into complete events, so that an answer is
// only ever interrupted between two of them.
package exchange
