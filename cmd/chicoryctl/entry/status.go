package entry

import (
	"context"
	"flag"
	"fmt"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// statusVerb shows where a version is in force.
var statusVerb = command.Verb{
	Name:      "status",
	Arguments: "SERVICE",
	Summary:   "Shows which daemons have the newest version in force, and which cannot be reached.",
	Detail:    daemonDetail,
	New: func(flags *flag.FlagSet) command.Run {
		daemon := addDaemonFlags(flags)
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			service, err := oneArgument(arguments, "SERVICE")
			if err != nil {
				return err
			}
			client, err := daemon.client()
			if err != nil {
				return err
			}
			status, err := client.Status(ctx, chicoryhall.ServiceName(service))
			if err != nil {
				return err
			}
			printStatus(streams, status)
			return nil
		}
	},
}

func printStatus(streams command.Streams, status operator.Status) {
	current := 0
	fmt.Fprintf(streams.Out, "%-24s %-16s %-8s %s\n", "daemon", "failure domain", "version", "state")
	for _, daemon := range status.Daemons {
		state := "behind"
		switch {
		case !daemon.Reachable:
			state = "unreachable: " + daemon.Error
		case daemon.Number == status.Newest:
			state = "in force"
			current++
		}
		fmt.Fprintf(streams.Out, "%-24s %-16s %-8d %s\n", daemon.Daemon, daemon.FailureDomain, daemon.Number, state)
	}
	fmt.Fprintf(streams.Out, "version %d is in force at %d of %d daemons\n", status.Newest, current, len(status.Daemons))
}
