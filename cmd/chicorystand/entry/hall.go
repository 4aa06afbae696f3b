package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/hall"
	"chicoryhall.example/chicoryhall/command"
)

const hallDetail = `FILE holds the addresses, the model, the endpoints and the operator's first configuration.

The control endpoint answers:
  GET  /ledger                  what the endpoints ran
  POST /store                   {"refuse":true,"silent":true,"delayMillis":50,"loseAnswers":true}
  POST /compact                 forgets the store's history
  POST /configuration           the operator's next configuration
  POST /engines/ID/faults       {"dead":true,"silent":true,"slow":4,"cutEvery":3}
  POST /engines/ID/crash        ends what runs there; the endpoint starts again empty
  POST /engines/ID/leave        the endpoint lists itself as leaving`

// hallVerb runs the users' platform with its endpoints.
var hallVerb = command.Verb{
	Name:      "hall",
	Arguments: "FILE",
	Summary:   "Runs the users' platform: its store, engines that hold layers, and plain endpoints.",
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
