package entry

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/command"
)

// explainVerb describes a document in words, or what happened to a request according to logs.
var explainVerb = command.Verb{
	Name:      "explain",
	Arguments: "FILE | ID FILE...",
	Summary:   "Describes a document in words, or what happened to a request according to the daemons' logs.",
	Detail: "With one FILE: the document's classes and limits, and which layers the engines hold.\n" +
		"With the ID of a request and the daemons' logs: the events of the request (marked *) with their values,\n" +
		"and the changes to its endpoints' states, the rules and the store meanwhile. No daemon is contacted.",
	New: func(*flag.FlagSet) command.Run { return explain },
}

func explain(_ context.Context, streams command.Streams, arguments []string) error {
	if len(arguments) > 1 {
		return explainRequest(streams, arguments[0], arguments[1:])
	}
	path, err := oneArgument(arguments, "FILE")
	if err != nil {
		return err
	}
	_, d, _, err := loadDocument(path)
	if err != nil {
		return err
	}
	e := explanation{streams}
	e.line("Service %s belongs to team %s.", d.Service, d.Team)
	e.classes(d)
	e.organisations(d)
	if d.Kind == chicoryhall.ServicePipeline {
		e.layers(d)
	} else {
		e.line("Each request is one call to one of its %d endpoints.", len(d.Endpoints))
	}
	e.line("At most %d%% of the successful requests are retried, each at no more than %d endpoints.",
		d.Retries.BudgetPercent, d.Retries.MaxEndpoints)
	return nil
}

// explanation writes sentences, each on a line of its own.
type explanation struct {
	streams command.Streams
}

func (e explanation) line(format string, arguments ...any) {
	fmt.Fprintf(e.streams.Out, format+"\n", arguments...)
}

func (e explanation) classes(d *chicoryhall.Document) {
	classes := slices.Clone(d.Classes)
	slices.SortStableFunc(classes, func(a, b chicoryhall.DocumentClass) int { return cmp.Compare(a.Priority, b.Priority) })
	for i, class := range classes {
		repetition := "is never run again once it was sent"
		if class.Idempotent {
			repetition = "may be run again after a failure"
		}
		e.line("Class %s goes %s; a request has %s in all and %s until its first token or answer, and %s.",
			class.Name, rank(i), class.Timeout, class.TargetLatency, repetition)
	}
}

// rank describes the i-th place in the order in which classes are served.
func rank(i int) string {
	if i == 0 {
		return "first"
	}
	return fmt.Sprintf("as number %d", i+1)
}

func (e explanation) organisations(d *chicoryhall.Document) {
	total := 0
	for _, organisation := range d.Organisations {
		total += organisation.Share
	}
	for _, organisation := range d.Organisations {
		e.line("Organisation %s may send %g requests a second and gets %.0f%% of a class under overload.",
			organisation.Name, organisation.RequestsPerSecond, 100*float64(organisation.Share)/float64(total))
	}
}

// layerRange is the range of layers from to to-1.
type layerRange struct {
	from, to int
}

func (e explanation) layers(d *chicoryhall.Document) {
	e.line("Model %s, version %s, has %d layers:", d.Model.Name, d.Model.Version, d.Model.Layers)
	engines := map[layerRange]int{}
	for _, endpoint := range d.Endpoints {
		engines[layerRange{endpoint.From, endpoint.To}]++
	}
	var ranges []layerRange
	for r := range engines {
		ranges = append(ranges, r)
	}
	slices.SortFunc(ranges, func(a, b layerRange) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	for _, r := range ranges {
		e.line("  layers %d to %d are held by %d engines.", r.from, r.to-1, engines[r])
	}
}
