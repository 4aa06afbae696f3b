package entry

import (
	"context"
	"fmt"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// statusVerb shows which version each daemon has in force.
var statusVerb = command.Verb{
	Name:      "status",
	Arguments: "SERVICE",
	Summary:   "Shows which daemons have the newest version in force, are behind, or cannot be reached.",
	Detail:    daemonDetail,
	New:       serviceVerb(printStatus),
}

func printStatus(ctx context.Context, streams command.Streams, client *operator.Client, service chicoryhall.ServiceName) error {
	status, err := client.Status(ctx, service)
	if err != nil {
		return err
	}
	writeStatus(streams, status)
	return nil
}

func writeStatus(streams command.Streams, status operator.Status) {
	upToDate := 0
	fmt.Fprintf(streams.Out, "%-24s %-16s %-8s %s\n", "daemon", "failure domain", "version", "state")
	for _, daemon := range status.Daemons {
		state := "behind"
		switch {
		case !daemon.Reachable:
			state = "unreachable: " + daemon.Error
		case daemon.Number == status.Newest:
			state = "in force"
			upToDate++
		}
		fmt.Fprintf(streams.Out, "%-24s %-16s %-8d %s\n", daemon.Daemon, daemon.FailureDomain, daemon.Number, state)
	}
	fmt.Fprintf(streams.Out, "version %d is in force at %d of %d daemons\n", status.Newest, upToDate, len(status.Daemons))
}
