package entry

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/platform/configcheck"
)

// checkConfigurationVerb checks a configuration of the users' platform before it is sent.
var checkConfigurationVerb = command.Verb{
	Name:      "check-configuration",
	Arguments: "FILE",
	Summary:   "Checks a configuration of the users' platform (JSON) before it is sent, with the daemon's own parser.",
	Detail: "Each line is the file, \"warning\" if daemons use the field nevertheless, its path, and what to write instead.\n" +
		"With -in-force, the differences from that version follow, and a version that is not greater is an error.\n" +
		"Credentials are shown as the beginning of their SHA-256. The exit status is 1 if there is an error; with\n" +
		"warnings alone it is 0. No daemon is contacted.",
	New: func(flags *flag.FlagSet) command.Run {
		inForce := flags.String("in-force", "", "`FILE` with the configuration in force, to compare with")
		asJSON := flags.Bool("json", false, "print the result as JSON")
		return func(_ context.Context, streams command.Streams, arguments []string) error {
			path, err := oneArgument(arguments, "FILE")
			if err != nil {
				return err
			}
			result, err := checkConfiguration(path, *inForce)
			if err != nil {
				return err
			}
			return result.write(streams, *asJSON)
		}
	},
}

// errConfiguration is the error of the verb if a configuration has errors, which have been printed.
var errConfiguration = errors.New("the configuration has errors")

// configurationResult is what the check of a configuration has found.
type configurationResult struct {
	File        string                   `json:"file"`
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
	InForce     string                   `json:"inForce,omitempty"`
}

// checkConfiguration checks the file at a path and compares it with the one in force, unless that is empty.
func checkConfiguration(path, inForce string) (configurationResult, error) {
	result := configurationResult{File: path, InForce: inForce, Findings: []configcheck.Finding{}, Differences: []configcheck.Difference{}}
	next, problems, err := readConfiguration(path)
	if err != nil || next == nil {
		result.Findings = problems
		return result, err
	}
	result.Findings = append(result.Findings, configcheck.Check(next)...)
	if inForce == "" {
		return result, nil
	}
	current, problems, err := readConfiguration(inForce)
	if err != nil {
		return result, err
	}
	if current == nil {
		return result, errors.Errorf("%s: %s", inForce, problems[0])
	}
	result.Findings = append(result.Findings, configcheck.CheckVersion(current, next)...)
	differences, err := configcheck.Compare(current, next)
	result.Differences = append(result.Differences, differences...)
	return result, err
}

// readConfiguration reads a file. The configuration is nil if the parser cannot decode it.
func readConfiguration(path string) (*platform.Configuration, []configcheck.Finding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read configuration")
	}
	c, problems := configcheck.Decode(text)
	return c, problems, nil
}

// write prints the result and returns an error if there are errors in the configuration.
func (r configurationResult) write(streams command.Streams, asJSON bool) error {
	hasErrors := configcheck.HasErrors(r.Findings)
	if asJSON {
		encoder := json.NewEncoder(streams.Out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "write result")
		}
	} else {
		r.writeText(streams, hasErrors)
	}
	if hasErrors {
		return errConfiguration
	}
	return nil
}

func (r configurationResult) writeText(streams command.Streams, hasErrors bool) {
	for _, f := range r.Findings {
		fmt.Fprintf(streams.Out, "%s: %s\n", r.File, f)
	}
	for _, d := range r.Differences {
		fmt.Fprintln(streams.Out, d)
	}
	if r.InForce != "" && len(r.Differences) == 0 && !hasErrors {
		fmt.Fprintf(streams.Out, "%s: no difference from %s but the version\n", r.File, r.InForce)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(streams.Out, "%s: the configuration is good\n", r.File)
	}
}
