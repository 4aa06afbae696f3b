package entry

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/modelengine"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const engineDetail = `The settings are read from the YAML file given by -settings. Flags override them.
On SIGTERM the engine refuses new streams, finishes the running ones and exits.

The control endpoint (-control) answers:
  GET, POST /faults   {"slow":2,"lateMillis":500,"crashPrompt":"TEXT","refuseFull":true}
                      slow multiplies the duration of each step; lateMillis delays each event of a stream;
                      crashPrompt crashes the process when it begins to run a prompt that starts with TEXT,
                      of which only complete blocks of eight bytes are compared, so it needs at least eight;
                      refuseFull refuses new streams as if the engine were full
  GET  /ledger        for each stream, attempt and range of layers: the positions that were run
  POST /crash         ends the process immediately with status 3
  POST /freeze        stops answering, like a paused process; connections stay open
  POST /thaw          resumes and handles what was received meanwhile
  POST /silence       discards all further data of the open connections permanently; new ones work
  POST /leave, /stay  refuses or accepts new streams`

// engineVerb runs a simulated model engine.
var engineVerb = command.Verb{
	Name:    "engine",
	Summary: "Runs a simulated model engine that holds ranges of layers.",
	Detail:  engineDetail,
	New:     newEngine,
}

func newEngine(flags *flag.FlagSet) command.Run {
	path := flags.String("settings", "", "YAML `FILE` with the settings")
	s := modelengine.Defaults()
	engineFlags(flags, &s)
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if len(arguments) > 0 {
			return command.UsageError("argument %q is not expected", arguments[0])
		}
		if err := loadSettingsBelowFlags(flags, *path, &s); err != nil {
			return err
		}
		if s.ID == "" || s.Listen == "" {
			return command.UsageError("-id and -listen are needed")
		}
		p := process{name: "chicorystand engine " + string(s.ID), control: s.Control, drainTimeout: s.DrainTimeout}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return modelengine.New(s, clock, log)
		}
		return p.run(ctx, streams)
	}
}

// loadSettingsBelowFlags reads the settings file, if there is one, into the settings of any subcommand that has a
// settings file. The settings already have the values of the flags given on the command line. As the file overwrites
// these, the given flags are set again afterwards.
func loadSettingsBelowFlags(flags *flag.FlagSet, path string, settings any) error {
	if path == "" {
		return nil
	}
	given := map[string]string{}
	flags.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() })
	if err := readSettingsFile(path, settings); err != nil {
		return err
	}
	for name, value := range given {
		if err := flags.Set(name, value); err != nil {
			return command.UsageError("-%s: %v", name, err)
		}
	}
	return nil
}

// engineFlags registers the flags that set the fields of s.
func engineFlags(flags *flag.FlagSet, s *modelengine.Settings) {
	flags.StringVar((*string)(&s.ID), "id", "", "the engine's `ID` in service documents")
	flags.StringVar(&s.Listen, "listen", "", "`IP:PORT` for daemons and other engines")
	flags.StringVar((*string)(&s.FailureDomain), "failure-domain", "", "`NAME` of the failure domain")
	flags.StringVar((*string)(&s.Accelerator), "accelerator", string(s.Accelerator), "`KIND` of the accelerator")
	flags.DurationVar(&s.StepTime, "step-time", s.StepTime, "fixed `TIME` of one step, in which tokens of several streams are processed together")
	flags.DurationVar(&s.LayerTime, "layer-time", s.LayerTime, "`TIME` that each layer adds to a step for each of its tokens")
	flags.IntVar(&s.Batch, "batch", s.Batch, "maximum number of streams in one step")
	flags.IntVar(&s.KVCapacity, "kv-capacity", s.KVCapacity, "maximum number of `POSITIONS` (tokens of running and cached streams) in the KV cache")
	flags.IntVar(&s.KVBytes, "kv-bytes", s.KVBytes, "`BYTES` per position and layer when the KV cache of a stream is copied to another engine")
	flags.IntVar(&s.Queue, "queue", s.Queue, "maximum number of open streams, running or waiting for a step")
	flags.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "`TIME` after which a change of the load is reported")
	flags.DurationVar(&s.CacheLag, "cache-lag", s.CacheLag, "`TIME` after which a change of the cached prompts is published (a cache event)")
	flags.IntVar(&s.CacheLossPercent, "cache-loss", s.CacheLossPercent, "`PERCENT` of cache events never published")
	flags.Var((*holdingsFlag)(&s.Holdings), "holdings", "`MODEL@VERSION:FROM-TO[,...]`: layers FROM to TO-1 that are held from the start or, with -weights, loaded then")
	flags.BoolVar(&s.Fencing, "fencing", s.Fencing, "refuse orders with an outdated fencing number")
	flags.StringVar(&s.Weights, "weights", "", "`IP:PORT` of the weight store; if empty, loading takes no time")
	flags.StringVar(&s.VMList, "vm-list", "", "`IP:PORT` of the VM list to register in; none if empty")
	flags.StringVar(&s.Address, "address", "", "`IP:PORT` to register, if it differs from -listen")
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; none if empty")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "maximum `TIME` for finishing streams after SIGTERM")
}

// holdingsFlag is a flag.Value for a list of holdings, the layers of a model that the engine holds.
type holdingsFlag []modelengine.Holding

// String returns the holdings in the format that Set parses.
func (h *holdingsFlag) String() string {
	parts := make([]string, 0, len(*h))
	for _, holding := range *h {
		parts = append(parts, fmt.Sprintf("%s@%s:%d-%d", holding.Model, holding.Version, holding.From, holding.To))
	}
	return strings.Join(parts, ",")
}

// Set parses a list of holdings.
func (h *holdingsFlag) Set(text string) error {
	*h = nil
	for _, part := range strings.Split(text, ",") {
		model, rest, _ := strings.Cut(part, "@")
		version, layers, _ := strings.Cut(rest, ":")
		holding := modelengine.Holding{Model: model, Version: version}
		if _, err := fmt.Sscanf(layers, "%d-%d", &holding.From, &holding.To); err != nil || holding.From >= holding.To || version == "" {
			return fmt.Errorf("holding %q is not MODEL@VERSION:FROM-TO with FROM less than TO", part)
		}
		*h = append(*h, holding)
	}
	return nil
}
