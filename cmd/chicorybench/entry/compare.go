package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/command"
)

// compareVerb compares two results.
var compareVerb = command.Verb{
	Name:      "compare",
	Arguments: "BEFORE AFTER",
	Summary:   "Prints two result files, which \"load -out\" writes, side by side.",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 2 {
				return command.UsageError("name two results, got %d names", len(arguments))
			}
			before, err := result.Load(arguments[0])
			if err != nil {
				return err
			}
			after, err := result.Load(arguments[1])
			if err != nil {
				return err
			}
			return result.WriteComparison(streams.Out, before, after)
		}
	},
}
