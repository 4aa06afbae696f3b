package entry

import (
	"context"
	"flag"
	"fmt"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/settings"
)

// checkVerb checks a settings file.
var checkVerb = command.Verb{
	Name:      "check",
	Arguments: "FILE",
	Summary:   "Checks a settings file and lists every mistake in it.",
	Detail: "With -entry the file is for \"chicoryhall pass\", otherwise for \"chicoryhall serve\". Each mistake is one line: file:line:column, the field's path, and what to write instead.\n" +
		"The exit status is 1 when there is a mistake. Documents of services are checked by \"chicoryctl check\".",
	New: func(flags *flag.FlagSet) command.Run {
		entry := flags.Bool("entry", false, "the file is for \"chicoryhall pass\"")
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) != 1 {
				return command.UsageError("one FILE is needed, %d are given", len(arguments))
			}
			return check(streams, arguments[0], *entry)
		}
	},
}

func check(streams command.Streams, path string, entry bool) error {
	id, err := loadID(path, entry)
	if err != nil {
		return command.Unprefixed(err)
	}
	fmt.Fprintf(streams.Out, "%s: settings of daemon %s are good\n", path, id)
	return nil
}

// loadID checks a settings file and returns the ID of the daemon that it configures. If entry is set, the file is for
// "chicoryhall pass", otherwise for "chicoryhall serve".
func loadID(path string, entry bool) (chicoryhall.DaemonID, error) {
	if entry {
		own, err := settings.LoadPlatformDaemon(path)
		if err != nil {
			return "", err
		}
		return own.ID, nil
	}
	own, err := settings.LoadDocumentDaemon(path)
	if err != nil {
		return "", err
	}
	return own.ID, nil
}
