package entry

import (
	"context"
	"flag"
	"fmt"

	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/operator"
)

// diffVerb shows the effects of a change without applying it.
var diffVerb = command.Verb{
	Name:      "diff",
	Arguments: "FILE",
	Summary:   "Compares a file with the newest version and warns of effects that the change would have on callers.",
	Detail:    "Nothing is changed. The exit status is 1 if the file has mistakes.\n" + daemonDetail,
	New: func(flags *flag.FlagSet) command.Run {
		daemon := addDaemonFlags(flags)
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			path, err := oneArgument(arguments, "FILE")
			if err != nil {
				return err
			}
			client, err := daemon.client()
			if err != nil {
				return err
			}
			return diff(ctx, streams, client, path)
		}
	},
}

func diff(ctx context.Context, streams command.Streams, client *operator.Client, path string) error {
	text, d, _, err := loadDocument(path)
	if err != nil {
		return err
	}
	result, err := client.Check(ctx, d.Service, text)
	if err != nil {
		return withDetails(err)
	}
	if mistakes := result.Problems.Errors(); len(mistakes) > 0 {
		return command.Unprefixed(mistakes)
	}
	fmt.Fprint(streams.Out, result.Difference)
	for _, warning := range result.Problems.Warnings() {
		fmt.Fprintln(streams.Out, warning.Error())
	}
	for _, effect := range result.Effects {
		fmt.Fprintf(streams.Out, "warning: %s\n", effect)
	}
	if result.Difference == "" {
		fmt.Fprintf(streams.Out, "service %s: no difference to version %d\n", d.Service, result.Number)
	}
	return nil
}
