package entry

import (
	"context"
	"flag"
	"fmt"

	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/settings"
)

// checkVerb checks a settings file.
var checkVerb = command.Verb{
	Name:      "check",
	Arguments: "FILE",
	Summary:   "Checks a settings file and lists every mistake in it.",
	Detail: "Each mistake is one line: file:line:column, the field's path, and what to write instead.\n" +
		"The exit status is 1 when there is a mistake. Documents of services are checked by \"chicoryctl check\".",
	New: func(*flag.FlagSet) command.Run { return check },
}

func check(_ context.Context, streams command.Streams, arguments []string) error {
	if len(arguments) != 1 {
		return command.UsageError("one FILE is needed, %d are given", len(arguments))
	}
	own, err := settings.Load(arguments[0])
	if err != nil {
		return command.Listed(err)
	}
	fmt.Fprintf(streams.Out, "%s: settings of daemon %s are good\n", arguments[0], own.ID)
	return nil
}
