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

const engineDetail = `The settings come from the YAML file that -settings names and from the flags, which go first.
On SIGTERM the engine takes no new streams, finishes the running ones and exits.

The control endpoint (-control) answers:
  GET, POST /faults   {"slow":2,"lateMillis":500,"crashPrompt":"TEXT","refuseFull":true}
                      slow multiplies each step's time; lateMillis delays each event of a stream;
                      crashPrompt ends the process when a prompt that begins with the text begins
                      to run (its whole pieces of eight bytes count)
  GET  /ledger        per stream, attempt and range of layers: the positions that were run
  POST /crash         ends the process at once with status 3
  POST /freeze        answers nothing more; connections stay open
  POST /thaw          goes on
  POST /silence       makes the open connections silent for good; new ones work
  POST /leave, /stay  refuses or takes new streams`

// engineVerb runs one model engine.
var engineVerb = command.Verb{
	Name:    "engine",
	Summary: "Runs one stand-in model engine that holds ranges of layers.",
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
		if err := settingsThenFlags(flags, *path, &s); err != nil {
			return err
		}
		if s.ID == "" || s.Listen == "" {
			return command.UsageError("-id and -listen are needed")
		}
		p := process{program: "chicorystand engine " + string(s.ID), control: s.Control, drain: s.DrainTimeout}
		p.build = func(clock *timer.Service, log *event.Logger) (part, error) {
			return modelengine.New(s, clock, log)
		}
		return p.run(ctx, streams)
	}
}

// settingsThenFlags reads the settings file and lets the flags that were given go before it.
func settingsThenFlags(flags *flag.FlagSet, path string, into any) error {
	if path == "" {
		return nil
	}
	given := map[string]string{}
	flags.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() })
	if err := readSettings(path, into); err != nil {
		return err
	}
	for name, value := range given {
		if err := flags.Set(name, value); err != nil {
			return command.UsageError("-%s: %v", name, err)
		}
	}
	return nil
}

func engineFlags(flags *flag.FlagSet, s *modelengine.Settings) {
	flags.StringVar((*string)(&s.ID), "id", "", "the engine's `ID` in service documents")
	flags.StringVar(&s.Listen, "listen", "", "`IP:PORT` for daemons and other engines")
	flags.StringVar((*string)(&s.FailureDomain), "failure-domain", "", "`NAME` of the failure domain")
	flags.StringVar((*string)(&s.Accelerator), "accelerator", string(s.Accelerator), "`KIND` of the accelerator")
	flags.DurationVar(&s.StepTime, "step-time", s.StepTime, "fixed `TIME` of one batched step")
	flags.DurationVar(&s.LayerTime, "layer-time", s.LayerTime, "`TIME` that a layer adds for one token in the batch")
	flags.IntVar(&s.Batch, "batch", s.Batch, "most streams in one step")
	flags.IntVar(&s.KVCapacity, "kv-capacity", s.KVCapacity, "most `POSITIONS` held")
	flags.IntVar(&s.KVBytes, "kv-bytes", s.KVBytes, "`BYTES` of an export per position and layer")
	flags.IntVar(&s.Queue, "queue", s.Queue, "most streams at once")
	flags.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "age of the load report")
	flags.DurationVar(&s.CacheLag, "cache-lag", s.CacheLag, "delay of cache events")
	flags.IntVar(&s.CacheLossPercent, "cache-loss", s.CacheLossPercent, "`PERCENT` of cache events never published")
	flags.Var((*holdingsFlag)(&s.Holdings), "holdings", "`MODEL@VERSION:FROM-TO[,...]` held at the start, TO not included")
	flags.BoolVar(&s.Fencing, "fencing", s.Fencing, "refuse orders with an old fencing number")
	flags.StringVar(&s.Weights, "weights", "", "`IP:PORT` of the weight store; empty loads at once")
	flags.StringVar(&s.VMList, "vm-list", "", "`IP:PORT` of the VM list to register at; empty does not")
	flags.StringVar(&s.Address, "address", "", "`IP:PORT` to register, where it differs from -listen")
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; empty has none")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "most `TIME` for running streams on SIGTERM")
}

// holdingsFlag reads holdings from the command line.
type holdingsFlag []modelengine.Holding

// String returns the holdings as Set reads them.
func (h *holdingsFlag) String() string {
	parts := make([]string, 0, len(*h))
	for _, one := range *h {
		parts = append(parts, fmt.Sprintf("%s@%s:%d-%d", one.Model, one.Version, one.From, one.To))
	}
	return strings.Join(parts, ",")
}

// Set reads holdings.
func (h *holdingsFlag) Set(text string) error {
	*h = nil
	for _, part := range strings.Split(text, ",") {
		model, rest, _ := strings.Cut(part, "@")
		version, layers, _ := strings.Cut(rest, ":")
		one := modelengine.Holding{Model: model, Version: version}
		if _, err := fmt.Sscanf(layers, "%d-%d", &one.From, &one.To); err != nil || one.From >= one.To || version == "" {
			return fmt.Errorf("holding %q is not MODEL@VERSION:FROM-TO", part)
		}
		*h = append(*h, one)
	}
	return nil
}
