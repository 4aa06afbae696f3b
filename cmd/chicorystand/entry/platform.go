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
weight store (/v1/weights/MODEL/VERSION/LAYER) and the VM list (/v1/vms). Every service is available on every
address. With one address for each service, given by -table, -objects, -weights and -vm-list, the link to each can be
relayed by "chicorystand proxy" and fail separately. At least one address is needed.
The settings are read from the YAML file given by -settings. Flags override them, but the flags for addresses add to
the addresses of the settings.

The control endpoint (-control) answers:
  GET, POST /faults   {"table":{"outage":"refuse","slowMillis":200,"loseAnswers":1,"loseSilently":true},
                       "objects":{...},"weights":{...},"vms":{...},"staleReads":true,
                       "writesPerSecond":100,"readsPerSecond":500}
                      outage is none, refuse (503), silent (no answer) or drop (the connection is closed);
                      slowMillis delays each request; loseAnswers makes that many writes take effect without an
                      answer and closes their connections, or with loseSilently leaves them open; staleReads
                      answers reads from the last snapshot; writesPerSecond and readsPerSecond replace the rates
  GET  /ledger        counts of writes, conflicts, reads, refused requests and lost answers
  POST /crash         ends the process immediately with status 3
  POST /freeze        stops answering, like a paused process; connections stay open
  POST /thaw          resumes and handles what was received meanwhile
  POST /silence       discards all further data of the open connections permanently; new ones work
  POST /snapshot      takes a snapshot of the table; before the first one, the snapshot is empty
  POST /restore       replaces the table by the last snapshot, like restoring a backup`

// platformVerb runs a simulated platform.
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
	flags.Float64Var(&s.WritesPerSecond, "writes-per-second", s.WritesPerSecond, "maximum number of writes per second of the table, and as many of the object store")
	flags.Float64Var(&s.ReadsPerSecond, "reads-per-second", s.ReadsPerSecond, "maximum number of reads per second of the table, and as many of the object store")
	flags.IntVar(&s.LayerBytes, "layer-bytes", s.LayerBytes, "`BYTES` of one layer's weights")
	flags.Float64Var(&s.WeightBytesPerSecond, "weight-rate", s.WeightBytesPerSecond, "`BYTES` per second of the weight store")
	flags.DurationVar(&s.VMLag, "vm-lag", s.VMLag, "`TIME` after which a change of the VM list is served")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if err := loadSettingsBelowFlags(flags, *path, &s); err != nil {
			return err
		}
		for _, address := range addresses {
			if *address != "" {
				s.Listen = append(s.Listen, *address)
			}
		}
		if len(s.Listen) == 0 || len(arguments) > 0 {
			return command.UsageError("an address, such as -listen, is needed (%d given), and arguments are not expected (%q given)", len(s.Listen), arguments)
		}
		p := process{name: "chicorystand platform", control: s.Control}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return platform.New(s, clock, log), nil
		}
		return p.run(ctx, streams)
	}
}

// platformAddresses registers the flags for addresses and returns their values, which are empty if a flag is not given.
func platformAddresses(flags *flag.FlagSet) []*string {
	return []*string{
		flags.String("listen", "", "`IP:PORT` to listen on"),
		flags.String("table", "", "another `IP:PORT` to listen on, meant for the table"),
		flags.String("objects", "", "another `IP:PORT` to listen on, meant for the object store"),
		flags.String("weights", "", "another `IP:PORT` to listen on, meant for the weight store"),
		flags.String("vm-list", "", "another `IP:PORT` to listen on, meant for the VM list"),
	}
}
