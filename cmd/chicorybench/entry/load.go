package entry

import (
	"context"
	"flag"
	"os"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/load"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/verify"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/pipeline"
)

// loadVerb executes a plan and checks the answers.
var loadVerb = command.Verb{
	Name:      "load",
	Arguments: "PLAN",
	Summary:   "Sends the traffic of a plan, injects its faults, checks the answers and prints a table.",
	Detail: `Requests are sent at the plan's rates, however fast they are answered. The engines
and plain services are stand-ins: engines compute the tokens of an answer from its
prompt, so that every answer can be checked, and all stand-ins record in a ledger
the requests that they run. After the run, the requests are compared with these
ledgers. The exit status is 0 only if
  - every request ended with an answer or an error,
  - no answer had a wrong, missing or repeated token,
  - every request to a plain service that was answered ran, unless its class is
    idempotent,
  - no request ran that was reported as not run or rejected, and
  - no request to a plain service ran twice, unless its class is idempotent.`,
	New: func(flags *flag.FlagSet) command.Run {
		options := &loadOptions{}
		flags.StringVar(&options.out, "out", "", "write the result to `FILE`, which show, compare, report and plot read")
		flags.Uint64Var(&options.seed, "seed", 0, "use this `SEED` instead of the plan's; 0 means the plan's")
		return options.run
	},
}

type loadOptions struct {
	out  string
	seed uint64
}

func (o *loadOptions) run(ctx context.Context, streams command.Streams, arguments []string) error {
	if len(arguments) != 1 {
		return command.UsageError("name one plan, got %d names", len(arguments))
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
	r, err := runPlan(ctx, p, documents)
	if err != nil {
		return err
	}
	r.Plan = arguments[0]
	return o.report(streams, r)
}

// runPlan executes a plan and checks its requests against the stand-ins' ledgers.
func runPlan(ctx context.Context, p *plan.Plan, documents documentSet) (*result.Result, error) {
	outcome, err := load.New(p, documents.kinds()).Run(ctx)
	if err != nil {
		return nil, err
	}
	executions := verify.ReadExecutions(ctx, p.LedgerAddresses)
	r := verify.New(documents, executions).Check(outcome)
	r.Seed = p.Seed
	r.LayoutCommand = p.LayoutCommand
	r.BoundTokensPerSecond, err = documents.maxThroughput(p)
	return r, err
}

// report saves and prints the result. It returns an error if a request violated a guarantee.
func (o *loadOptions) report(streams command.Streams, r *result.Result) error {
	if o.out != "" {
		if err := r.Save(o.out); err != nil {
			return err
		}
	}
	if err := r.WriteTable(streams.Out); err != nil {
		return err
	}
	if violations := r.ViolationCount(); violations > 0 {
		return errors.Errorf("%d violations: requests were lost, doubled or wrong, or ran although reported as not run or rejected; the lines that start with \"violation\" describe the first ones", violations)
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

// maxThroughput returns an upper bound of the throughput that the plan can reach, in tokens per second: the sum of the
// maximum flows through all pipelines.
func (d documentSet) maxThroughput(p *plan.Plan) (float64, error) {
	total := 0.0
	for service, parsed := range d {
		if parsed.Kind != chicoryhall.ServicePipeline {
			continue
		}
		rate, err := pipeline.MaxThroughput(parsed, readyView, lightestRequest(p, service))
		if err != nil {
			return 0, err
		}
		total += rate
	}
	return total, nil
}

// readyView returns the view of any endpoint: ready and without load.
func readyView(chicoryhall.EndpointID) chicoryhall.EndpointView {
	return chicoryhall.EndpointView{State: chicoryhall.EndpointReady}
}

// meanAnswerFraction is the mean length of an answer relative to MaxTokens of the plan: lengths are distributed uniformly
// between half of the maximum and the maximum.
const meanAnswerFraction = 0.75

// minPromptTokens is the prompt length that maxThroughput assumes, in tokens. It is less than that of real prompts: an
// engine runs in steps, and processing a prompt takes at least as much of one step as generating one token. With a
// greater length, the result of maxThroughput might not be an upper bound.
const minPromptTokens = 1

// lightestRequest returns the average request that maxThroughput assumes for a service: a prompt of minPromptTokens, and
// the mean answer length of the plan's requests.
func lightestRequest(p *plan.Plan, service chicoryhall.ServiceName) pipeline.Mix {
	mix := pipeline.Mix{PromptTokens: minPromptTokens}
	var rate float64 // requests per second, by which the answer lengths are weighted
	for _, traffic := range p.Traffic {
		if traffic.Service == service {
			mix.AnswerTokens += traffic.Rate * meanAnswerFraction * float64(traffic.MaxTokens)
			rate += traffic.Rate
		}
	}
	if rate > 0 {
		mix.AnswerTokens /= rate
	}
	return mix
}
