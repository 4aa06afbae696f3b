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

// loadVerb executes a plan and checks the answers.
var loadVerb = command.Verb{
	Name:      "load",
	Arguments: "PLAN",
	Summary:   "Sends the traffic of a plan, injects its faults, checks the answers and prints a table.",
	Detail: `Arrivals are open-loop: slow daemons do not slow them down. Every answer is
verified from its prompt, and the stand-ins' ledgers say what actually ran. The
exit status is 0 only if nothing was lost, doubled or wrong and nothing ran
that was reported as not run.`,
	New: func(flags *flag.FlagSet) command.Run {
		options := &loadOptions{}
		flags.StringVar(&options.out, "out", "", "write the result to `FILE`")
		flags.Uint64Var(&options.seed, "seed", 0, "use this seed instead of the plan's")
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
	checked, err := runPlan(ctx, p, documents)
	if err != nil {
		return err
	}
	checked.Plan = arguments[0]
	return o.report(streams, checked)
}

// runPlan executes a plan, reads the ledgers and returns the result.
func runPlan(ctx context.Context, p *plan.Plan, documents documentSet) (*result.Result, error) {
	outcome, err := load.New(p, documents.kinds()).Run(ctx)
	if err != nil {
		return nil, err
	}
	ledger := judge.ReadLedgers(ctx, p.Ledgers)
	checked := judge.New(documents, ledger).Result(outcome)
	checked.Seed = p.Seed
	checked.Layout = p.Layout
	checked.BoundTokensPerSecond, err = documents.bound(p)
	return checked, err
}

func (o *loadOptions) report(streams command.Streams, checked *result.Result) error {
	if o.out != "" {
		if err := checked.Save(o.out); err != nil {
			return err
		}
	}
	if err := checked.WriteTable(streams.Out); err != nil {
		return err
	}
	if violations := checked.Violations(); violations > 0 {
		return errors.Errorf("%d requests violated a guarantee; see the lines that start with \"broken\"", violations)
	}
	return nil
}

// documentSet maps the services of a plan to their documents.
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

// bound returns the sum of the max-flow bounds of all pipelines in tokens per second.
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

// allReady is a view in which all endpoints are ready and without load.
func allReady(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady}
}

// meanSize is the mean of a size that is random between half of the maximum and the maximum, relative to the maximum.
const meanSize = 0.75

// prefillTokens is the minimum cost of a prompt for an engine, in generated tokens: one slot in one
// step. With a higher value, the bound would not be an upper bound.
const prefillTokens = 1

// mixOf returns the mean work per request that the plan causes for a service.
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
