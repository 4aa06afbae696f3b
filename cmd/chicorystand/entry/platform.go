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
weight store (/v1/weights/MODEL/VERSION/LAYER) and the list of VMs (/v1/vms). Each answers on every
address; -table and the like only add addresses, so that links to them can fail apart.
The settings come from the YAML file that -settings names and from the flags, which go first.

The control endpoint (-control) answers:
  GET, POST /faults   {"table":{"outage":"refuse","slowMillis":200,"loseAnswers":1,"loseSilently":true},
                       "objects":{...},"weights":{...},"vms":{...},"staleReads":true,
                       "writesPerSecond":100,"readsPerSecond":500}
                      outage is none, refuse (503), silent or drop; loseAnswers lets that many writes take
                      effect without an answer; staleReads answers reads from the last snapshot
  GET  /ledger        counts of writes, conflicts, reads, refused requests and lost answers
  POST /crash         ends the process at once with status 3
  POST /freeze, /thaw answers nothing; goes on
  POST /silence       makes the open connections silent for good; new ones work
  POST /snapshot      notes the table's rows
  POST /restore       puts the rows of the last snapshot back, as from a backup`

// platformVerb runs the platform.
var platformVerb = command.Verb{
	Name:    "platform",
	Summary: "Runs the stand-in platform: table, object store, weight store and list of VMs.",
	Detail:  platformDetail,
	New:     newPlatform,
}

func newPlatform(flags *flag.FlagSet) command.Run {
	path := flags.String("settings", "", "YAML `FILE` with the settings")
	s := platform.Defaults()
	addresses := platformAddresses(flags)
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; empty has none")
	flags.Float64Var(&s.WritesPerSecond, "writes-per-second", s.WritesPerSecond, "most writes a second")
	flags.Float64Var(&s.ReadsPerSecond, "reads-per-second", s.ReadsPerSecond, "most reads a second")
	flags.IntVar(&s.LayerBytes, "layer-bytes", s.LayerBytes, "`BYTES` of one layer's weights")
	flags.Float64Var(&s.WeightBytesPerSecond, "weight-rate", s.WeightBytesPerSecond, "`BYTES` a second of the weight store")
	flags.DurationVar(&s.VMLag, "vm-lag", s.VMLag, "age of the list of VMs")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if err := settingsThenFlags(flags, *path, &s); err != nil {
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
		p.build = func(clock *timer.Service, log *event.Logger) (part, error) {
			return platform.New(s, clock, log), nil
		}
		return p.run(ctx, streams)
	}
}

// platformAddresses registers a flag for each address.
func platformAddresses(flags *flag.FlagSet) []*string {
	return []*string{
		flags.String("listen", "", "`IP:PORT` of all services"),
		flags.String("table", "", "`IP:PORT` for the table"),
		flags.String("objects", "", "`IP:PORT` for the object store"),
		flags.String("weights", "", "`IP:PORT` for the weight store"),
		flags.String("vm-list", "", "`IP:PORT` for the list of VMs"),
	}
}
