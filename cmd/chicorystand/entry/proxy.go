package entry

import (
	"context"
	"flag"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/faultproxy"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

const proxyDetail = `Each argument is a link: connections to LISTEN are relayed to TARGET, both IP:PORT.

The control endpoint (-control) answers:
  GET, POST /faults        {"links":{"LISTEN":{"cut":true,"blackhole":true,"delayMillis":50,
                            "bytesPerSecond":100000,"cutAnswerAfter":4096}}}
                           sets the faults of the links that are named by their LISTEN; a fault that is left out
                           ends, and other links keep theirs; cut closes the open connections and refuses new ones;
                           blackhole discards all data of open and new connections; delayMillis delays all data;
                           bytesPerSecond limits each direction; cutAnswerAfter closes a connection after that
                           many bytes from the target
  POST /silence/LISTEN     discards all further data of the connections that are open now, permanently; new ones work
  POST /silence            the same for all links
  GET  /ledger             connections and bytes of each link
  POST /crash              ends the process immediately with status 3`

// proxyVerb runs a fault-injecting proxy.
var proxyVerb = command.Verb{
	Name:      "proxy",
	Arguments: "LISTEN=TARGET...",
	Summary:   "Runs TCP links into which faults can be injected.",
	Detail:    proxyDetail,
	New:       newProxy,
}

func newProxy(flags *flag.FlagSet) command.Run {
	controlAddress := flags.String("control", "", "`IP:PORT` of the control endpoint; none if empty")
	return func(ctx context.Context, streams command.Streams, arguments []string) error {
		if len(arguments) == 0 {
			return command.UsageError("at least one LISTEN=TARGET is needed")
		}
		p := process{name: "chicorystand proxy", control: *controlAddress}
		p.build = func(clock *timer.Service, log *event.Logger) (standin, error) {
			proxy := faultproxy.New(clock, log)
			for _, argument := range arguments {
				listen, target, ok := strings.Cut(argument, "=")
				if !ok {
					return nil, command.UsageError("link %q is not LISTEN=TARGET", argument)
				}
				proxy.Add(listen, target)
			}
			return proxy, nil
		}
		return p.run(ctx, streams)
	}
}
