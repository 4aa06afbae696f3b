package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/plainservice"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const plainDetail = `The settings come from the YAML file that -settings names and from the flags, which go first.
On SIGTERM the service takes no new calls, finishes the running ones and exits.

The control endpoint (-control) answers:
  GET, POST /faults   {"slow":2,"lateMillis":500,"loseAnswers":1,"crashBody":"TEXT","refuseFull":true}
                      slow multiplies each call's time; lateMillis delays each answer; loseAnswers runs that
                      many calls and closes the connection; crashBody ends the process when a call begins
                      whose body contains the text
  GET  /ledger        per request: how often it was started, finished and refused
  POST /crash         ends the process at once with status 3
  POST /freeze, /thaw answers nothing; goes on
  POST /silence       makes the open connections silent for good; new ones work
  POST /leave, /stay  refuses or takes new calls`

// plainVerb runs one VM of a plain service.
var plainVerb = command.Verb{
	Name:    "plain",
	Summary: "Runs one stand-in VM of a plain service, whose calls may not be repeated.",
	Detail:  plainDetail,
	New:     newPlain,
}

func newPlain(flags *flag.FlagSet) command.Run {
	path := flags.String("settings", "", "YAML `FILE` with the settings")
	s := plainservice.Defaults()
	flags.StringVar((*string)(&s.ID), "id", "", "the endpoint's `ID` in service documents")
	flags.StringVar(&s.Listen, "listen", "", "`IP:PORT` for daemons")
	flags.StringVar((*string)(&s.FailureDomain), "failure-domain", "", "`NAME` of the failure domain")
	flags.DurationVar(&s.ServiceTime, "service-time", s.ServiceTime, "`TIME` of one call")
	flags.IntVar(&s.Concurrent, "concurrent", s.Concurrent, "most calls at once")
	flags.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "age of the load report")
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; empty has none")
	flags.StringVar(&s.VMList, "vm-list", "", "`IP:PORT` of the VM list to register at; empty does not")
	flags.StringVar(&s.Address, "address", "", "`IP:PORT` to register, where it differs from -listen")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "most `TIME` for running calls on SIGTERM")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if err := settingsThenFlags(flags, *path, &s); err != nil {
			return err
		}
		if s.ID == "" || s.Listen == "" || len(arguments) > 0 {
			return command.UsageError("-id and -listen are needed and no arguments")
		}
		p := process{program: "chicorystand plain " + string(s.ID), control: s.Control, drain: s.DrainTimeout}
		p.build = func(clock *timer.Service, log *event.Logger) (part, error) {
			return plainservice.New(s, clock, log)
		}
		return p.run(ctx, streams)
	}
}
