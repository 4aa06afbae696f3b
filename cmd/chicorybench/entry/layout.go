package entry

import (
	"context"
	"flag"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/layout"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/pipeline"
)

// layoutVerb generates a deployment for one machine.
var layoutVerb = command.Verb{
	Name:      "layout",
	Arguments: "FOLDER",
	Summary:   "Writes the documents, settings, plan and process list of a small deployment into a folder.",
	Detail: `The deployment runs the services of both users in Lantern Vow's locations: three failure
domains with daemons, a platform, a balancer, engines of three accelerator
kinds and plain services. scripts/deployment starts what the folder lists.`,
	New: func(flags *flag.FlagSet) command.Run {
		options := layout.Options{}
		flags.Float64Var(&options.Scale, "scale", 0.3, "`SIZE` relative to one present user's deployment")
		flags.IntVar(&options.PortOffset, "port-offset", 0, "`NUMBER` added to every port")
		flags.Uint64Var(&options.Seed, "seed", 1, "`SEED` of the load")
		flags.DurationVar(&options.Duration, "duration", 20*time.Second, "`TIME` of the load")
		flags.Float64Var(&options.Load, "load", 1, "`FACTOR` on all rates")
		flags.Float64Var(&options.PlainLoad, "plain-load", 1, "additional `FACTOR` on the rates of plain services")
		flags.IntVar(&options.Daemons, "daemons", 0, "`NUMBER` of daemons in each failure domain; 0 means by scale")
		flags.TextVar(&options.Routing, "routing", pipeline.PolicyFlow, "`POLICY` for choosing engines: flow, roundRobin or leastLoad")
		flags.StringVar(&options.Scenario, "scenario", "demo", "`NAME` of the scenario of faults: "+layout.ScenarioNames())
		return func(_ context.Context, _ command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one folder, got %d", len(arguments))
			}
			if !layout.KnownScenario(options.Scenario) {
				return command.UsageError("there is no scenario %q; use one of %s", options.Scenario, layout.ScenarioNames())
			}
			folder, err := filepath.Abs(arguments[0])
			if err != nil {
				return errors.Wrap(err, "folder")
			}
			options.Command = commandOf(flags)
			return layout.New(options).Write(folder)
		}
	},
}

// commandOf returns the command line with the flags that were given.
func commandOf(flags *flag.FlagSet) string {
	commandLine := "chicorybench layout"
	flags.Visit(func(f *flag.Flag) { commandLine += " -" + f.Name + " " + f.Value.String() })
	return commandLine
}
