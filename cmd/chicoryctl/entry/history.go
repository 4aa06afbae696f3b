package entry

import (
	"context"
	"flag"
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
)

// historyVerb lists the versions of a service.
var historyVerb = command.Verb{
	Name:      "history",
	Arguments: "SERVICE",
	Summary:   "Lists all accepted versions of a service, oldest first.",
	Detail:    "\"chicoryctl get -version NUMBER SERVICE\" prints one of them.\n" + daemonDetail,
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
			history, err := client.History(ctx, chicoryhall.ServiceName(service))
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
	},
}
