package layout

import (
	"path/filepath"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// The load: rates at scale 1 and load 1 in requests per second for one service, and sizes of requests.
const (
	rateDrafts       = 60.0
	rateQueries      = 60.0
	rateAvailability = 60.0
	rateHolds        = 15.0
	ratePages        = 40.0
	promptBytes      = 400
	answerTokens     = 48
	plainBytes       = 60
)

// plan returns the plan with the traffic of all services and the faults of the scenario.
func (l *Layout) plan(folder string) plan.Plan {
	p := plan.Plan{
		Layout:   l.options.Command,
		Seed:     l.options.Seed,
		Duration: l.options.Duration,
		Targets:  []string{l.addressOf(portBalancer)},
		Ledgers:  l.controls(),
	}
	for i := range l.services {
		s := &l.services[i]
		p.Documents = append(p.Documents, filepath.Join(folder, documentFolder, string(s.document.Service)+".yaml"))
		for _, class := range s.document.Classes {
			p.Traffic = append(p.Traffic, l.traffic(s, class)...)
		}
	}
	if scenario := findScenario(l.options.Scenario); scenario != nil {
		p.Faults = scenario.faults(l, folder)
	}
	return p
}

// traffic returns the traffic of a class, with its rate distributed over the organisations by their shares.
func (l *Layout) traffic(s *service, class chicoryhall.DocumentClass) []plan.Traffic {
	shares := 0
	for _, o := range s.document.Organisations {
		shares += o.Share
	}
	lines := make([]plan.Traffic, 0, len(s.tokens))
	load := l.options.Load
	if s.document.Kind == chicoryhall.ServicePlain {
		load *= l.options.PlainLoad
	}
	for i, o := range s.document.Organisations {
		line := plan.Traffic{
			Service:      s.document.Service,
			Class:        class.Name,
			Organisation: o.Name,
			Token:        s.tokens[i],
			Rate:         rateOf(class.Name) * l.options.Scale * load * float64(o.Share) / float64(shares),
			PromptBytes:  plainBytes,
			Operation:    string(class.Name),
			Timeout:      class.Timeout,
		}
		if s.document.Kind == chicoryhall.ServicePipeline {
			line.PromptBytes = promptBytes
			line.MaxTokens = answerTokens
			line.Operation = ""
		}
		lines = append(lines, line)
	}
	return lines
}

func rateOf(class chicoryhall.ClassName) float64 {
	switch class {
	case "draft":
		return rateDrafts
	case "query":
		return rateQueries
	case "availability":
		return rateAvailability
	case "hold":
		return rateHolds
	}
	return ratePages
}
