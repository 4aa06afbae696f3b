package entry

import (
	"context"
	"flag"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/balancer"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// checkPeriod is the time between two readiness checks of a daemon.
const checkPeriod = 250 * time.Millisecond

const balancerDetail = `Each argument or entry of -targets is the caller address of one daemon, IP:PORT. A new connection goes to the next
daemon whose GET /readyz returned 200 or 204. If there is none, it is closed.

The control endpoint (-control) answers:
  GET  /ledger    per daemon: ready, connections
  POST /silence   makes the open connections silent permanently; new ones work
  POST /crash     ends the process immediately with status 3`

// balancerVerb runs a load balancer.
var balancerVerb = command.Verb{
	Name:      "balancer",
	Arguments: "DAEMON...",
	Summary:   "Runs a simulated TCP load balancer of the platform.",
	Detail:    balancerDetail,
	New:       newBalancer,
}

func newBalancer(flags *flag.FlagSet) command.Run {
	listen := flags.String("listen", "", "`IP:PORT` for callers")
	controlAddress := flags.String("control", "", "`IP:PORT` of the control endpoint; none if empty")
	targets := flags.String("targets", "", "comma-separated `IP:PORT` of daemons")
	period := flags.Duration("check-period", checkPeriod, "`TIME` between two readiness checks of a daemon")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if *targets != "" {
			arguments = append(strings.Split(*targets, ","), arguments...)
		}
		if *listen == "" || len(arguments) == 0 {
			return command.UsageError("-listen and at least one DAEMON are needed")
		}
		p := process{program: "chicorystand balancer", control: *controlAddress}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return balancer.New(*listen, arguments, *period, clock, log)
		}
		return p.run(ctx, streams)
	}
}
