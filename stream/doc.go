// Package stream is the state machine of one request to a pipeline service: it decides when an
// attempt starts, which tokens are delivered, what happens when a stage fails, and with which
// outcome the request ends.
//
// Machine takes inputs and returns actions. It does no I/O and has no clock: the time is passed to
// each Step. The driver (package requests) executes the actions and passes their results back as
// inputs.
//
// A route is a chain of engines. Each of them is a stage of the attempt that runs over the route,
// and a Hop of the Route; see package engine for KV and prefill. A request is said to be replaced or
// taken over when another daemon becomes its owner; see package holder for owners and backups.
//
// An attempt is one run of the request over one route. A position is the index, from 0, of a token in the
// answer; all attempts of a request continue the same answer. For every order of inputs these
// invariants hold:
//
//   - each position is delivered once, in order, and only after InputTokensReleased, unless the
//     token is one of Config.KnownTokens;
//   - events of an attempt that is not the current one change nothing;
//   - exactly one ActionFinish ends the request, and nothing is delivered after it;
//   - OutcomeAnswered implies that all tokens were delivered;
//   - OutcomeNotRun implies that every endpoint that an attempt reached has refused it.
package stream
