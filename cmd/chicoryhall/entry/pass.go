package entry

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"

	"chicoryhall.example/chicoryhall/cmd/chicoryhall/platformdaemon"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/settings"
)

// settingsVariable is the name of the environment variable that holds the path of the settings file.
const settingsVariable = "CHICORYHALL_SETTINGS"

// passVerb runs a daemon on a platform whose store lists the endpoints.
var passVerb = command.Verb{
	Name:    "pass",
	Summary: "Runs one daemon that passes requests through to the endpoints that the platform's store lists, until SIGTERM.",
	Detail: "The settings file is that of the flag -settings, or else the one that the environment variable\n" +
		settingsVariable + " names. \"chicoryhall check -entry FILE\" checks such a file.",
	New: func(flags *flag.FlagSet) command.Run {
		path := flags.String("settings", "", "the daemon's settings `FILE`")
		return func(ctx context.Context, streams command.Streams, _ []string) error {
			if *path == "" {
				*path = os.Getenv(settingsVariable)
			}
			if *path == "" {
				return command.UsageError("the flag -settings is missing and %s is not set", settingsVariable)
			}
			return pass(ctx, streams, *path)
		}
	},
}

func pass(ctx context.Context, streams command.Streams, path string) error {
	own, err := settings.LoadPlatformDaemon(path)
	if err != nil {
		return command.Unprefixed(err)
	}
	level, err := log.ParseLevel(own.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	daemon := platformdaemon.New(*own, streams.Out, level)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return daemon.Serve(ctx, path, reload)
}
