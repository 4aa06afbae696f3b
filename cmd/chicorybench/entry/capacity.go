package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/capacity"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
	"chicoryhall.example/chicoryhall/command"
)

// capacityVerb prints the capacity page.
var capacityVerb = command.Verb{
	Name:      "capacity",
	Arguments: "FILE",
	Summary:   "Extrapolates the costs to the design size from measured slopes and prints the capacity page.",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one file, got %d", len(arguments))
			}
			file, err := slope.Load(arguments[0])
			if err != nil {
				return err
			}
			return capacity.WritePage(streams.Out, file)
		}
	},
}
