package entry

import (
	"context"
	"flag"
	"fmt"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/operator"
)

// applyVerb makes a file the newest version of a service's document.
var applyVerb = command.Verb{
	Name:      "apply",
	Arguments: "FILE",
	Summary:   "Makes a file the newest version of its service's document.",
	Detail: "The change is accepted only if nobody has changed the document since \"chicoryctl get\" wrote the file;\n" +
		"otherwise the difference is shown and nothing changes. A file not written by get can be applied to a\n" +
		"new service, or in place of the version whose number is given by -over.\n" + daemonDetail,
	New: func(flags *flag.FlagSet) command.Run {
		daemon := addDaemonFlags(flags)
		over := flags.Int64("over", 0, "the `NUMBER` of the version to replace, for a file not written by get")
		return func(ctx context.Context, streams command.Streams, arguments []string) error {
			path, err := oneArgument(arguments, "FILE")
			if err != nil {
				return err
			}
			client, err := daemon.client()
			if err != nil {
				return err
			}
			return apply(ctx, streams, client, path, *over)
		}
	},
}

func apply(ctx context.Context, streams command.Streams, client *operator.Client, path string, over int64) error {
	text, d, base, err := loadDocument(path)
	if err != nil {
		return err
	}
	current, tag, err := client.Get(ctx, d.Service)
	if err != nil {
		return err
	}
	if current == text {
		fmt.Fprintf(streams.Out, "service %s: unchanged, version %s has this text\n", d.Service, tag)
		return nil
	}
	if base == "" && tag != "" {
		if base, err = confirmedBase(d.Service, tag, over); err != nil {
			return err
		}
	}
	accepted, err := client.Apply(ctx, d.Service, text, base)
	if err != nil {
		return withDetails(err)
	}
	fmt.Fprintf(streams.Out, "service %s: version %d accepted\n", accepted.Service, accepted.Number)
	for _, warning := range accepted.Warnings {
		fmt.Fprintf(streams.Out, "warning: %s\n", warning)
	}
	return nil
}

// loadDocument reads and checks a file. It returns the document's text without the line that names its base version,
// the document, and the ETag of the base version, which is empty if the file names none.
func loadDocument(path string) (text string, d *chicoryhall.Document, base string, err error) {
	raw, err := readDocument(path)
	if err != nil {
		return "", nil, "", err
	}
	if d, err = document.Parse(path, raw); err != nil {
		return "", nil, "", command.Unprefixed(err)
	}
	text, base = splitBase(string(raw))
	return text, d, base, nil
}

// confirmedBase returns tag, the ETag of the newest version, if the operator has confirmed with the flag -over that this
// version may be replaced.
func confirmedBase(service chicoryhall.ServiceName, tag string, over int64) (string, error) {
	if over == 0 {
		return "", errors.Errorf("service %s has version %s and the file does not say which version it was made from: "+
			"run \"chicoryctl get %s\", make the change there, or name the version with -over", service, tag, service)
	}
	var number int64
	if _, err := fmt.Sscanf(tag, "\"%d-", &number); err != nil || number != over {
		return "", errors.Errorf("service %s has version %s, not %d: run \"chicoryctl diff\" to see the difference", service, tag, over)
	}
	return tag, nil
}

// withDetails returns the error of a refused request together with the mistakes or the difference in the response.
func withDetails(err error) error {
	var problem *operator.Problem
	if !errors.As(err, &problem) {
		return err
	}
	if len(problem.Problems) > 0 {
		return command.Unprefixed(problem.Problems)
	}
	if problem.Difference != "" {
		return errors.Errorf("%v\n%s", err, problem.Difference)
	}
	return err
}
