package entry

import (
	"context"
	"flag"
	"strings"

	"github.com/charmbracelet/log"

	"chicoryhall.example/chicoryhall/cmd/chicoryhall/daemon"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/settings"
)

// serveVerb runs a daemon until it is told to stop.
var serveVerb = command.Verb{
	Name:    "serve",
	Summary: "Runs one daemon until SIGTERM or an interrupt, then shuts down gracefully.",
	New: func(flags *flag.FlagSet) command.Run {
		path := flags.String("settings", "", "the daemon's settings `FILE`")
		documents := flags.String("documents", "", "comma-separated `FILES` of documents in force from the start, for tests without a platform")
		return func(ctx context.Context, streams command.Streams, _ []string) error {
			if *path == "" {
				return command.UsageError("the flag -settings is missing")
			}
			return serve(ctx, streams, *path, splitList(*documents))
		}
	},
}

func serve(ctx context.Context, streams command.Streams, path string, documents []string) error {
	own, err := settings.LoadDocumentDaemon(path)
	if err != nil {
		return command.Unprefixed(err)
	}
	level, err := log.ParseLevel(own.LogLevel)
	if err != nil {
		level = log.InfoLevel
	}
	logger := event.NewLogger(streams.Err, "chicoryhall", level)
	built, err := daemon.New(*own, daemon.Options{Documents: documents}, logger)
	if err != nil {
		return err
	}
	return built.Serve(ctx)
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
