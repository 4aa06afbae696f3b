// Package exchange decides what becomes of a request that is passed through to
// an endpoint: whether it may be sent again after a failure, and what its caller
// may truthfully be told.
//
// Machine is the decision on one request. It does no I/O and has no clock. It
// holds these invariants over every order of failures:
//
//   - a request that is not repeatable is sent again only after a failure which
//     proves that it has not run and never will;
//   - it runs on no more endpoints than its rule allows;
//   - VerdictNotRun needs that no attempt may have run;
//   - once a part of an answer has gone to the caller, the answer goes on at
//     another endpoint or is cut off, and never looks whole.
//
// Events splits a stream into whole events, so that an answer is only ever cut
// between two of them.
package exchange
