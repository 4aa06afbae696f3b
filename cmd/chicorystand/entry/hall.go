package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/hall"
	"chicoryhall.example/chicoryhall/command"
)

const hallDetail = `FILE contains the addresses, the model, the endpoints and the operator's initial configuration.

The control endpoint answers:
  GET  /ledger                  the requests that the endpoints ran, and requests and orders that were wrong
  GET  /arrivals                the requests that crash endpoints, each time one arrived at an endpoint
  POST /store                   {"refuse":true,"silent":true,"delayMillis":50,"loseAnswers":true}
                                sets the faults of the store: refuse answers with 503; silent does not answer;
                                delayMillis delays each answer; loseAnswers closes the connection instead of
                                answering every second write that took effect
  POST /compact                 drops the history of changes from which the store serves its change feed
  POST /configuration           replaces the operator's configuration
  POST /engines/ID/faults       {"dead":true,"silent":true,"slow":4,"cutEvery":3}
                                sets the faults of an engine or plain endpoint: dead closes every connection;
                                silent does not answer; slow multiplies the time for each request; cutEvery
                                closes the connection in the middle of one answer in that many
  POST /engines/ID/crash        aborts all requests of the endpoint, which then starts again without layers
  POST /engines/ID/leave        the endpoint refuses new requests and lists itself in the store as draining
A request whose body begins with "crash-first " crashes the endpoint that runs it, one with "crash-route " all engines
of its route, and one with "crash-later " the endpoint that runs it after four events.
Unlike the control endpoints of the other stand-ins, it has no paths /faults and /crash for the whole process.`

// hallVerb runs the platform that package hall simulates, on which "chicoryhall pass" runs, with its engines and plain
// endpoints in the same process. The platform that platformVerb runs is a different one, which "chicoryhall serve"
// uses.
var hallVerb = command.Verb{
	Name:      "hall",
	Arguments: "FILE",
	Summary:   "Runs a simulated platform for \"chicoryhall pass\": its store, engines that hold layers, and plain endpoints.",
	Detail:    hallDetail,
	New: func(*flag.FlagSet) command.Run {
		return func(ctx context.Context, _ command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("one FILE is needed, %d are given", len(arguments))
			}
			settings, err := hall.Load(arguments[0])
			if err != nil {
				return err
			}
			return hall.New(*settings).Serve(ctx)
		}
	},
}
