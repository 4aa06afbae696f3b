package entry

import (
	"context"
	"flag"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/plainservice"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const plainDetail = `The settings are read from the YAML file given by -settings. Flags override them.
On SIGTERM the service refuses new calls, finishes the running ones and exits. Answers that lateMillis still delays
then are lost.

The control endpoint (-control) answers:
  GET, POST /faults   {"slow":2,"lateMillis":500,"loseAnswers":1,"crashBody":"TEXT","refuseFull":true}
                      slow multiplies the duration of each call; lateMillis delays each answer; loseAnswers closes
                      the connection instead of answering, for that many of the next calls; crashBody crashes the
                      process when a call starts whose body contains TEXT; refuseFull refuses each call as if the
                      service were full
  GET  /ledger        for each request: how often it was started, finished and refused
  POST /crash         ends the process immediately with status 3
  POST /freeze        stops answering, like a paused process; connections stay open
  POST /thaw          resumes and handles what was received meanwhile
  POST /silence       discards all further data of the open connections permanently; new ones work
  POST /leave, /stay  refuses or accepts new calls`

// plainVerb runs a simulated VM of a plain service.
var plainVerb = command.Verb{
	Name:    "plain",
	Summary: "Runs a simulated VM of a plain service, which records how often it runs each request.",
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
	flags.IntVar(&s.MaxConcurrent, "concurrent", s.MaxConcurrent, "maximum number of concurrent calls")
	flags.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "`TIME` after which a change of the load is reported")
	flags.StringVar(&s.Control, "control", "", "`IP:PORT` of the control endpoint; none if empty")
	flags.StringVar(&s.VMList, "vm-list", "", "`IP:PORT` of the VM list to register in; none if empty")
	flags.StringVar(&s.Address, "address", "", "`IP:PORT` to register, if it differs from -listen")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", s.DrainTimeout, "maximum `TIME` for finishing calls after SIGTERM")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if err := loadSettingsBelowFlags(flags, *path, &s); err != nil {
			return err
		}
		if s.ID == "" || s.Listen == "" || len(arguments) > 0 {
			return command.UsageError("-id (given as %q) and -listen (%q) are needed, and arguments are not expected (%q given)", s.ID, s.Listen, arguments)
		}
		p := process{name: "chicorystand plain " + string(s.ID), control: s.Control, drainTimeout: s.DrainTimeout}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			return plainservice.New(s, clock, log)
		}
		return p.run(ctx, streams)
	}
}
