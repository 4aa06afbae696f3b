package entry

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// getVerb prints a document or lists the services.
var getVerb = command.Verb{
	Name:      "get",
	Arguments: "[SERVICE]",
	Summary:   "Prints the document of a service, or lists the services of your team.",
	Detail: "The first line names the version, so that \"chicoryctl apply\" knows on which version a change is based.\n" +
		"To restore an older version, get it with -version and apply it: it becomes a new version.\n" + daemonDetail,
	New: func(flags *flag.FlagSet) command.Run {
		daemon := addDaemonFlags(flags)
		number := flags.Int64("version", 0, "the `NUMBER` of an older version, to be applied in place of the newest one")
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			client, err := daemon.client()
			if err != nil {
				return err
			}
			if len(arguments) == 0 {
				return list(ctx, streams, client)
			}
			service, err := oneArgument(arguments, "SERVICE")
			if err != nil {
				return err
			}
			return get(ctx, streams, client, chicoryhall.ServiceName(service), *number)
		}
	},
}

func list(ctx context.Context, streams command.Streams, client *operator.Client) error {
	documents, err := client.List(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%-32s %s\n", "service", "version")
	for _, version := range documents.Documents {
		fmt.Fprintf(streams.Out, "%-32s %d\n", version.Service, version.Number)
	}
	return nil
}

func get(ctx context.Context, streams command.Streams, client *operator.Client, service chicoryhall.ServiceName, number int64) error {
	text, tag, err := client.Get(ctx, service)
	if err != nil {
		return err
	}
	if tag == "" {
		return errors.Errorf("there is no service %q; \"chicoryctl get\" lists the services of your team", service)
	}
	// The text of an older version also gets the ETag of the newest one, which it replaces when it is applied.
	if number > 0 {
		if text, _, err = client.GetVersion(ctx, service, number); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(streams.Out, withBase(text, tag))
	return errors.Wrap(err, "print the document")
}
