package entry

import (
	"context"
	"flag"
	"fmt"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/capacity"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
	"chicoryhall.example/chicoryhall/command"
)

// slopesVerb measures the costs that can be measured in one process.
var slopesVerb = command.Verb{
	Name:      "slopes",
	Arguments: "FILE",
	Summary:   "Measures how the cost of each decision grows, and writes the fitted lines to a file.",
	Detail: `Each cost is measured three times at three or more sizes of its driver, by the
daemon's own code with small fakes of its interfaces. Measurements with the same
name in the file are replaced; all others are kept.`,
	New: func(flags *flag.FlagSet) command.Run {
		only := flags.String("only", "", "measure only the cost with this `NAME`")
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one file, got %d", len(arguments))
			}
			return measureSlopes(streams, arguments[0], *only)
		}
	},
}

func measureSlopes(streams command.Streams, path, only string) error {
	file, err := slope.Load(path)
	if err != nil {
		return err
	}
	for _, experiment := range capacity.Experiments() {
		if only != "" && only != experiment.Name() {
			continue
		}
		measured, err := experiment.Run("chicorybench slopes")
		if err != nil {
			return err
		}
		fmt.Fprintf(streams.Out, "%s: %.3g + %.3g per unit of %s, spread %.2g %s\n", measured.Name,
			measured.Line.Intercept, measured.Line.Slope, measured.Driver, measured.Line.Spread, measured.Unit)
		file.Merge(&slope.File{Measurements: []slope.Measurement{measured}})
	}
	return file.Save(path)
}
