package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/command"
)

// showVerb prints the table of a result file.
var showVerb = command.Verb{
	Name:      "show",
	Arguments: "RESULT",
	Summary:   "Prints the table of a result file, which \"load -out\" writes.",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one result, got %d names", len(arguments))
			}
			loaded, err := result.Load(arguments[0])
			if err != nil {
				return err
			}
			return loaded.WriteTable(streams.Out)
		}
	},
}
