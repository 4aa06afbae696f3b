package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/hall"
	"chicoryhall.example/chicoryhall/command"
)

const hallDetail = `FILE contains the addresses, the model, the endpoints and the operator's initial configuration.

The control endpoint answers:
  GET  /ledger                  what the endpoints ran
  POST /store                   {"refuse":true,"silent":true,"delayMillis":50,"loseAnswers":true}
  POST /compact                 drops the store's history
  POST /configuration           replaces the operator's configuration
  POST /engines/ID/faults       {"dead":true,"silent":true,"slow":4,"cutEvery":3}
  POST /engines/ID/crash        aborts all requests of the endpoint, which then starts again without layers
  POST /engines/ID/leave        the endpoint lists itself as leaving`

// hallVerb runs a platform for "chicoryhall pass" with its endpoints.
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
