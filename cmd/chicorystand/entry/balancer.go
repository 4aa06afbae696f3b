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

// checkPeriod is the default time between two readiness checks of a daemon.
const checkPeriod = 250 * time.Millisecond

const balancerDetail = `Each DAEMON, and each entry of -targets, is the IP:PORT on which a daemon accepts requests. A new connection is relayed to
the next daemon whose last GET /readyz returned 200 or 204. If there is none, the connection is closed.

The control endpoint (-control) answers:
  GET  /ledger    for each daemon: whether it is ready, and the number of connections assigned to it so far
  POST /silence   discards all further data of the open connections permanently; new ones work
  POST /crash     ends the process immediately with status 3`

// balancerVerb runs a simulated load balancer.
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
	targets := flags.String("targets", "", "comma-separated `IP:PORT` of more daemons")
	period := flags.Duration("check-period", checkPeriod, "`TIME` between two readiness checks of a daemon")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if *targets != "" {
			arguments = append(strings.Split(*targets, ","), arguments...)
		}
		if *listen == "" || len(arguments) == 0 {
			return command.UsageError("-listen and at least one DAEMON are needed")
		}
		p := process{name: "chicorystand balancer", control: *controlAddress}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return balancer.New(*listen, arguments, *period, clock, log)
		}
		return p.run(ctx, streams)
	}
}
