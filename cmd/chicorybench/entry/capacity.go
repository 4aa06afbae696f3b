package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/capacity"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
	"chicoryhall.example/chicoryhall/command"
)

// capacityVerb prints the page of package capacity.
var capacityVerb = command.Verb{
	Name:      "capacity",
	Arguments: "FILE",
	Summary:   "Extrapolates the costs measured by slopes and observe to a large deployment and prints them as a Markdown page.",
	Detail:    `FILE is the file written by "slopes" and "observe".`,
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one file, got %d names", len(arguments))
			}
			file, err := slope.Load(arguments[0])
			if err != nil {
				return err
			}
			return capacity.WritePage(streams.Out, file)
		}
	},
}
