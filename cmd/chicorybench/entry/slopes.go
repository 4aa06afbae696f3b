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
	Summary:   "Measures how the costs of a daemon's work grow with the size of a deployment, and writes the fitted lines to a file.",
	Detail: `The costs are processor time, memory and message sizes of parts of the daemon,
such as choosing a route or checking a document. Each grows with a quantity, its
driver, such as the number of engines, and is measured three times at three or
more sizes of it. The measurements run the daemon's code in this process, without
network and other daemons. FILE is a JSON file, which is created if it does not
exist. Measurements with the same name in it are replaced; all others are kept.`,
	New: func(flags *flag.FlagSet) command.Run {
		only := flags.String("only", "", "measure only the cost with this `NAME`, as this command prints it")
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one file, got %d names", len(arguments))
			}
			return measureSlopes(streams, arguments[0], *only)
		}
	},
}

// measureSlopes runs all experiments, or only the one with the given name, and saves their measurements in the file.
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
		fmt.Fprintf(streams.Out, "%s: %.3g + %.3g × %s, spread %.2g (%s)\n", measured.Name,
			measured.Line.Intercept, measured.Line.Slope, measured.Driver, measured.Line.Spread, measured.Unit)
		file.Replace(&slope.File{Measurements: []slope.Measurement{measured}})
	}
	return file.Save(path)
}
