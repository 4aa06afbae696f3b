package layout

import (
	"path/filepath"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// The rates of each class in requests per second, summed over the organisations, at scale 1 and load 1; and the maximum
// sizes of requests.
const (
	draftRate         = 60.0
	queryRate         = 60.0
	availabilityRate  = 60.0
	holdRate          = 15.0
	pageRate          = 40.0
	maxPromptBytes    = 400
	maxAnswerTokens   = 48
	maxPlainBodyBytes = 60
)

// plan returns the plan with the traffic of all services and the faults of the scenario that Options.Scenario names. If
// there is no such scenario, the plan has no faults.
func (l *Layout) plan(folder string) plan.Plan {
	p := plan.Plan{
		LayoutCommand:   l.options.Command,
		Seed:            l.options.Seed,
		Duration:        l.options.Duration,
		Targets:         []string{l.addressOf(balancerPort)},
		LedgerAddresses: l.endpointControlAddresses(),
	}
	for i := range l.services {
		s := &l.services[i]
		p.Documents = append(p.Documents, filepath.Join(folder, documentsFolder, string(s.document.Service)+".yaml"))
		for _, class := range s.document.Classes {
			p.Traffic = append(p.Traffic, l.traffic(s, class)...)
		}
	}
	if scenario := findScenario(l.options.Scenario); scenario != nil {
		p.Faults = scenario.faults(l, folder)
	}
	return p
}

// traffic returns one entry for each organisation. The rate of the class is divided among them by their shares.
func (l *Layout) traffic(s *service, class chicoryhall.DocumentClass) []plan.Traffic {
	shares := 0
	for _, o := range s.document.Organisations {
		shares += o.Share
	}
	entries := make([]plan.Traffic, 0, len(s.tokens))
	load := l.options.Load
	if s.document.Kind == chicoryhall.ServicePlain {
		load *= l.options.PlainLoad
	}
	for i, o := range s.document.Organisations {
		entry := plan.Traffic{
			Service:      s.document.Service,
			Class:        class.Name,
			Organisation: o.Name,
			Token:        s.tokens[i],
			Rate:         rateOf(class.Name) * l.options.Scale * load * float64(o.Share) / float64(shares),
			PromptBytes:  maxPlainBodyBytes,
			Operation:    string(class.Name),
			Timeout:      class.Timeout,
		}
		if s.document.Kind == chicoryhall.ServicePipeline {
			entry.PromptBytes = maxPromptBytes
			entry.MaxTokens = maxAnswerTokens
			entry.Operation = ""
		}
		entries = append(entries, entry)
	}
	return entries
}

// rateOf returns the rate of a class. Any class that it does not know gets pageRate, the rate of the class "page".
func rateOf(class chicoryhall.ClassName) float64 {
	switch class {
	case "draft":
		return draftRate
	case "query":
		return queryRate
	case "availability":
		return availabilityRate
	case "hold":
		return holdRate
	}
	return pageRate
}
