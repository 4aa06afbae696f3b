package entry

import (
	"context"
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// historyVerb lists the versions of a service.
var historyVerb = command.Verb{
	Name:      "history",
	Arguments: "SERVICE",
	Summary:   "Lists all accepted versions of a service, oldest first.",
	Detail:    "\"chicoryctl get -version NUMBER SERVICE\" prints one of them.\n" + daemonDetail,
	New:       serviceVerb(printHistory),
}

func printHistory(ctx context.Context, streams command.Streams, client *operator.Client, service chicoryhall.ServiceName) error {
	history, err := client.History(ctx, service)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%-8s %-25s %-16s %s\n", "version", "accepted", "team", "digest")
	for _, v := range history.Versions {
		accepted := time.UnixMilli(v.AcceptedMillis).UTC().Format(time.RFC3339)
		fmt.Fprintf(streams.Out, "%-8d %-25s %-16s %.12s\n", v.Number, accepted, v.Author, v.Digest)
	}
	return nil
}
