// Package stream is the state machine of one request over a pipeline: it
// decides when an attempt starts, which tokens are delivered, what is done
// about a stage that fails, and with which outcome the request ends.
//
// The machine takes inputs and returns actions. It does no I/O and has no
// clock: each Step gets the time. What carries the actions out (package
// requests) feeds their results back as inputs.
//
// An attempt is one run of the request over one route. Positions count the
// tokens of the answer from 0 over all attempts. The machine holds these
// invariants over every order of inputs:
//
//   - a position is delivered once, in order, and only after its release;
//   - events of another attempt than the current one change nothing;
//   - one Finish action ends the request, and nothing is delivered behind it;
//   - Answered needs all tokens delivered;
//   - NotRun needs that no attempt reached an endpoint that did not refuse it.
package stream
