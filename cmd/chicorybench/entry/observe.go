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

// observeVerb measures messages, processor time and memory of running daemons.
var observeVerb = command.Verb{
	Name:      "observe",
	Arguments: "FOLDER FILE",
	Summary:   "Measures messages, processor time and memory of the daemons of a running deployment.",
	Detail: `FOLDER is the folder written by "layout". FILE is a file written by "slopes"; it is
created if it does not exist. The means per daemon are added to FILE, in addition to
the means that earlier runs of this command measured at other sizes. The straight
lines fitted to the means, which show how they grow with the size, are fitted again.`,
	New: func(flags *flag.FlagSet) command.Run {
		driver := flags.String("driver", "daemons", "the `QUANTITY` that -size counts, with which the costs grow; \"capacity\" extrapolates this command's measurements only for daemons and engines")
		size := flags.Float64("size", 0, "`NUMBER` of daemons, or of what -driver names, in this deployment")
		length := flags.Duration("length", 10*time.Second, "`TIME` between the two readings of the daemons' metrics")
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
			return appendToFile(arguments[1], observed)
		}
	},
}

// appendToFile adds the points to the measurements in a file.
func appendToFile(path string, added *slope.File) error {
	file, err := slope.Load(path)
	if err != nil {
		return err
	}
	file.AddPoints(added)
	return file.Save(path)
}
