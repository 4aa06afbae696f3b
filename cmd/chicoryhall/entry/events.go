package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
)

// eventsVerb prints the catalogue of log events.
var eventsVerb = command.Verb{
	Name:    "events",
	Summary: "Prints the catalogue of numbered log events as a Markdown page.",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, _ []string) error {
			return event.WriteCatalogue(streams.Out)
		}
	},
}
