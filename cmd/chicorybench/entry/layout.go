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
	Summary:   "Writes the documents, settings, plan and process list of a small deployment to a folder.",
	Detail: `The deployment runs on one machine. In each of three failure domains there are
daemons and engines; each domain has another kind of accelerator. The endpoints of
plain services, which have no model and do not stream, are distributed over the
domains. One load balancer and one stand-in for the platform serve all domains. The
services belong to two teams, lantern-vow and association. The plan is the input of
"load". scripts/deployment starts the processes that the folder lists.`,
	New: func(flags *flag.FlagSet) command.Run {
		options := layout.Options{}
		flags.Float64Var(&options.Scale, "scale", 0.3, "`SIZE` relative to a deployment with 3 daemons in each failure domain and about 30 engines in each pipeline service")
		flags.IntVar(&options.PortOffset, "port-offset", 0, "`NUMBER` added to every port")
		flags.Uint64Var(&options.Seed, "seed", 1, "`SEED` of the random load")
		flags.DurationVar(&options.Duration, "duration", 20*time.Second, "`TIME` for which requests are sent")
		flags.Float64Var(&options.Load, "load", 1, "`FACTOR` on the request rates of all services")
		flags.Float64Var(&options.PlainLoad, "plain-load", 1, "additional `FACTOR` on the request rates of plain services, which have no model and do not stream")
		flags.IntVar(&options.Daemons, "daemons", 0, "`NUMBER` of daemons in each failure domain; 0 means 3 times the scale, but at least 2")
		flags.TextVar(&options.Routing, "routing", pipeline.PolicyFlow, "`POLICY` for choosing engines: flow, roundRobin or leastLoad")
		flags.StringVar(&options.Scenario, "scenario", "demo", "`NAME` of the scenario of faults: "+layout.ScenarioNames())
		return func(_ context.Context, _ command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("name one folder, got %d names", len(arguments))
			}
			if !layout.KnownScenario(options.Scenario) {
				return command.UsageError("there is no scenario %q; use one of %s", options.Scenario, layout.ScenarioNames())
			}
			folder, err := filepath.Abs(arguments[0])
			if err != nil {
				return errors.Wrapf(err, "resolve folder %q", arguments[0])
			}
			options.Command = commandOf(flags)
			return layout.New(options).Write(folder)
		}
	},
}

// commandOf returns the command line of layout with the flags that were given, without the folder, for reports.
func commandOf(flags *flag.FlagSet) string {
	commandLine := "chicorybench layout"
	flags.Visit(func(f *flag.Flag) { commandLine += " -" + f.Name + " " + f.Value.String() })
	return commandLine
}
