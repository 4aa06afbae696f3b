package entry

import (
	"context"
	"flag"
	"os"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/judge"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/pipeline"
)

// loadVerb carries out a plan and judges it.
var loadVerb = command.Verb{
	Name:      "load",
	Arguments: "PLAN",
	Summary:   "Sends the traffic of a plan, sets its faults, judges the answers and prints a table.",
	Detail: `Arrivals are open-loop: a slow router does not slow them down. Every answer is
verified from its prompt, and the stand-ins' ledgers tell what truly ran. The
exit status is 0 only if nothing was lost, doubled or wrong and nothing ran
whose caller was told that it did not.`,
	New: func(flags *flag.FlagSet) command.Run {
		options := &loadOptions{}
		flags.StringVar(&options.out, "out", "", "write the result to `FILE`")
		flags.Uint64Var(&options.seed, "seed", 0, "use this seed in place of the plan's")
		return options.run
	},
}

type loadOptions struct {
	out  string
	seed uint64
}

func (o *loadOptions) run(ctx context.Context, streams command.Streams, arguments []string) error {
	if len(arguments) != 1 {
		return command.UsageError("name one plan, got %d", len(arguments))
	}
	p, err := plan.Load(arguments[0])
	if err != nil {
		return err
	}
	if o.seed != 0 {
		p.Seed = o.seed
	}
	documents, err := readDocuments(p.Documents)
	if err != nil {
		return err
	}
	judged, err := carryOut(ctx, p, documents)
	if err != nil {
		return err
	}
	judged.Plan = arguments[0]
	return o.report(streams, judged)
}

// carryOut sends the load, reads the ledgers and judges.
func carryOut(ctx context.Context, p *plan.Plan, documents documentSet) (*result.Result, error) {
	outcome, err := load.New(p, documents.kinds()).Run(ctx)
	if err != nil {
		return nil, err
	}
	ledger := judge.ReadLedgers(ctx, p.Ledgers)
	judged := judge.New(documents, ledger).Result(outcome)
	judged.Seed = p.Seed
	judged.Layout = p.Layout
	judged.BoundTokensPerSecond, err = documents.bound(p)
	return judged, err
}

func (o *loadOptions) report(streams command.Streams, judged *result.Result) error {
	if o.out != "" {
		if err := judged.Save(o.out); err != nil {
			return err
		}
	}
	if err := judged.WriteTable(streams.Out); err != nil {
		return err
	}
	if broken := judged.Broken(); broken > 0 {
		return errors.Errorf("%d requests broke a promise; see the lines that begin with \"broken\"", broken)
	}
	return nil
}

// documentSet holds the documents of a plan by service.
type documentSet map[chicoryhall.ServiceName]*chicoryhall.Document

func readDocuments(paths []string) (documentSet, error) {
	documents := make(documentSet)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read document")
		}
		parsed, err := document.Parse(path, text)
		if err != nil {
			return nil, err
		}
		documents[parsed.Service] = parsed
	}
	return documents, nil
}

func (d documentSet) kinds() map[chicoryhall.ServiceName]chicoryhall.ServiceKind {
	kinds := make(map[chicoryhall.ServiceName]chicoryhall.ServiceKind, len(d))
	for service, parsed := range d {
		kinds[service] = parsed.Kind
	}
	return kinds
}

// bound adds up the max-flow bounds of the pipelines in tokens per second.
func (d documentSet) bound(p *plan.Plan) (float64, error) {
	total := 0.0
	for service, parsed := range d {
		if parsed.Kind != chicoryhall.ServicePipeline {
			continue
		}
		rate, err := pipeline.MaxThroughput(parsed, allReady, mixOf(p, service))
		if err != nil {
			return 0, err
		}
		total += rate
	}
	return total, nil
}

// allReady is the view of endpoints of which nothing but the document is known.
func allReady(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady}
}

// meanSize is the mean of sizes drawn from half to all of the largest one.
const meanSize = 0.75

// prefillTokens is what a prompt costs an engine at the least, in generated tokens: one place in
// one step. Counting no more keeps the bound an upper one.
const prefillTokens = 1

// mixOf returns the mean work that the plan asks of a service.
func mixOf(p *plan.Plan, service chicoryhall.ServiceName) pipeline.Mix {
	mix := pipeline.Mix{PromptTokens: prefillTokens}
	var rate float64
	for _, traffic := range p.Traffic {
		if traffic.Service == service {
			mix.AnswerTokens += traffic.Rate * meanSize * float64(traffic.MaxTokens)
			rate += traffic.Rate
		}
	}
	if rate > 0 {
		mix.AnswerTokens /= rate
	}
	return mix
}
