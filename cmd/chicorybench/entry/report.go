package entry

import (
	"context"
	"flag"
	"path/filepath"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/command"
)

// reportVerb writes several results as Markdown tables.
var reportVerb = command.Verb{
	Name:      "report",
	Arguments: "RESULT...",
	Summary:   "Prints several result files, which \"load -out\" writes, as Markdown tables; each result is named after its file.",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			if len(arguments) == 0 {
				return command.UsageError("name at least one result")
			}
			names := make([]string, 0, len(arguments))
			results := make([]*result.Result, 0, len(arguments))
			for _, path := range arguments {
				loaded, err := result.Load(path)
				if err != nil {
					return err
				}
				results = append(results, loaded)
				names = append(names, strings.TrimSuffix(filepath.Base(path), ".json"))
			}
			return result.WriteReport(streams.Out, names, results)
		}
	},
}
