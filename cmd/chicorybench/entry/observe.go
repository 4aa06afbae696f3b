package entry

import (
	"context"
	"flag"
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/capacity"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
	"chicoryhall.example/chicoryhall/command"
)

// observeVerb measures the costs of control on running daemons.
var observeVerb = command.Verb{
	Name:      "observe",
	Arguments: "FOLDER FILE",
	Summary:   "Measures messages, processor time and memory of a running deployment, as points of a line.",
	Detail: `FOLDER is the folder written by "layout". The points are added to those of earlier
runs at other sizes in FILE, and the lines are fitted again.`,
	New: func(flags *flag.FlagSet) command.Run {
		driver := flags.String("driver", "daemons", "what the size counts")
		size := flags.Float64("size", 0, "size of the driver in this deployment")
		length := flags.Duration("length", 10*time.Second, "`TIME` between the two readings")
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 2 {
				return command.UsageError("name a folder and a file, got %d names", len(arguments))
			}
			if *size <= 0 {
				return command.UsageError("-size is %g; give the number of %s", *size, *driver)
			}
			observed, err := capacity.Observe(ctx, arguments[0], *driver, *size, *length)
			if err != nil {
				return err
			}
			fmt.Fprint(streams.Out, capacity.Describe(observed))
			return addPoints(arguments[1], observed)
		}
	},
}

// addPoints adds points to the measurements in a file.
func addPoints(path string, added *slope.File) error {
	file, err := slope.Load(path)
	if err != nil {
		return err
	}
	file.Extend(added)
	return file.Save(path)
}
