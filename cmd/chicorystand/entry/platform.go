package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/platform"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const platformDetail = `The services are the table (/v1/transactions, /v1/rows), the object store (/v1/objects/KEY), the
weight store (/v1/weights/MODEL/VERSION/LAYER) and the VM list (/v1/vms). Each is available on every
address; -table, -objects, -weights and -vm-list only add addresses, so that their links can fail separately.
The settings are read from the YAML file given by -settings. Flags override them.

The control endpoint (-control) answers:
  GET, POST /faults   {"table":{"outage":"refuse","slowMillis":200,"loseAnswers":1,"loseSilently":true},
                       "objects":{...},"weights":{...},"vms":{...},"staleReads":true,
                       "writesPerSecond":100,"readsPerSecond":500}
                      outage is none, refuse (503), silent or drop; loseAnswers makes that many writes take
                      effect without an answer; staleReads answers reads from the last snapshot
  GET  /ledger        counts of writes, conflicts, reads, refused requests and lost answers
  POST /crash         ends the process immediately with status 3
  POST /freeze, /thaw stops answering; resumes
  POST /silence       makes the open connections silent permanently; new ones work
  POST /snapshot      takes a snapshot of the table
  POST /restore       restores the last snapshot of the table, as from a backup`

// platformVerb runs a platform.
var platformVerb = command.Verb{
	Name:    "platform",
	Summary: "Runs a simulated platform: table, object store, weight store and VM list.",
	Detail:  platformDetail,
	New:     newPlatform,
}

func newPlatform(flags *flag.FlagSet) command.Run {
	path := flags.String("settings", "", "YAML `FILE` with the settings")
	s := platform.Defaults()
	addresses := platformAddresses(flags)
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; none if empty")
	flags.Float64Var(&s.WritesPerSecond, "writes-per-second", s.WritesPerSecond, "maximum number of writes per second")
	flags.Float64Var(&s.ReadsPerSecond, "reads-per-second", s.ReadsPerSecond, "maximum number of reads per second")
	flags.IntVar(&s.LayerBytes, "layer-bytes", s.LayerBytes, "`BYTES` of one layer's weights")
	flags.Float64Var(&s.WeightBytesPerSecond, "weight-rate", s.WeightBytesPerSecond, "`BYTES` per second of the weight store")
	flags.DurationVar(&s.VMLag, "vm-lag", s.VMLag, "age of the VM list")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if err := loadSettings(flags, *path, &s); err != nil {
			return err
		}
		for _, address := range addresses {
			if *address != "" {
				s.Listen = append(s.Listen, *address)
			}
		}
		if len(s.Listen) == 0 || len(arguments) > 0 {
			return command.UsageError("-listen is needed and no arguments")
		}
		p := process{program: "chicorystand platform", control: s.Control}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return platform.New(s, clock, log), nil
		}
		return p.run(ctx, streams)
	}
}

// platformAddresses registers the flags for addresses and returns their values.
func platformAddresses(flags *flag.FlagSet) []*string {
	return []*string{
		flags.String("listen", "", "`IP:PORT` of all services"),
		flags.String("table", "", "`IP:PORT` for the table"),
		flags.String("objects", "", "`IP:PORT` for the object store"),
		flags.String("weights", "", "`IP:PORT` for the weight store"),
		flags.String("vm-list", "", "`IP:PORT` for the VM list"),
	}
}
