package pipeline

import (
	"slices"
	"time"
)

// Mix describes the average request of a workload. The zero value counts generated tokens only.
type Mix struct {
	// PromptTokens is the length of the prompt, which every hop processes once.
	PromptTokens float64
	// AnswerTokens is the length of the answer.
	AnswerTokens float64
}

// promptPerToken returns the number of prompt tokens per generated token.
func (m Mix) promptPerToken() float64 {
	if m.AnswerTokens <= 0 {
		return 0
	}
	return m.PromptTokens / m.AnswerTokens
}

// flow is a path through a plan and the tokens per second that it carries.
type flow struct {
	path []pathHop
	rate float64
}

// maxIterations bounds the iterations of the solver. If it is reached, the solution found so far is
// used.
const maxIterations = 5000

// priceTolerance is the relative size below which gains and negative prices count as rounding
// errors.
const priceTolerance = 1e-6

// maxFlow returns the paths that together carry the most tokens per second, and that rate. It
// solves a linear program whose variables are the rates of paths and whose constraints are the
// endpoint time of each group and the bytes of each link. There are too many paths to list them
// all, so it uses column generation: it starts without paths, and each iteration adds the path that
// is cheapest at the current dual prices of the constraints, until no path is worth its price. The
// linear program stays about as small as the number of constraints.
func maxFlow(p *plan, mix Mix) ([]flow, float64) {
	if len(p.groups) == 0 {
		return nil, 0
	}
	model := newResourceModel(p, mix)
	table := newTableau(len(model.capacities))
	var paths [][]pathHop
	for range maxIterations {
		model.prices = table.prices(model.prices)
		if resource, negative := mostNegative(model.prices); negative {
			table.enterSlack(resource)
			continue
		}
		path, cost, ok := model.cheapestPath(model, 0, len(p.boundaries)-1, anyDomain, anyDomain)
		if !ok || cost >= 1-priceTolerance {
			break
		}
		if !table.enter(model.usage(path), len(paths)) {
			break
		}
		paths = append(paths, slices.Clone(path))
	}
	return flowsOf(table, paths)
}

// mostNegative returns the resource with the lowest price and whether that is below zero.
func mostNegative(prices []float64) (int, bool) {
	lowest := slices.Index(prices, slices.Min(prices))
	return lowest, prices[lowest] < -priceTolerance*slices.Max(prices)
}

// flowsOf returns the paths with their rates from the solved program.
func flowsOf(table *tableau, paths [][]pathHop) ([]flow, float64) {
	var flows []flow
	total := 0.0
	for row, column := range table.basis {
		if column == slack || table.values[row] <= 0 {
			continue
		}
		flows = append(flows, flow{path: paths[column], rate: table.values[row]})
		total += table.values[row]
	}
	return flows, total
}

// resourceModel holds the resources of a plan: the endpoint time of each group, then the bytes per
// second of each link. The capacity of a group is its number of endpoints, where an endpoint that
// belongs to n groups counts as 1/n in each, as if it divided its time equally among them.
// resourceModel implements costs by the prices of the resources.
type resourceModel struct {
	pathFinder
	promptPerToken  float64
	activationBytes float64
	capacities      []float64
	prices          []float64
}

func newResourceModel(p *plan, mix Mix) *resourceModel {
	m := &resourceModel{promptPerToken: mix.promptPerToken(), activationBytes: activationBytes(p.document.Model)}
	m.pathFinder.reset(p)
	memberships := make([]float64, len(p.endpoints))
	for _, g := range p.groups {
		for _, index := range g.endpoints {
			memberships[index]++
		}
	}
	for _, g := range p.groups {
		capacity := 0.0
		for _, index := range g.endpoints {
			capacity += 1 / memberships[index]
		}
		m.capacities = append(m.capacities, capacity)
	}
	for from := range p.domains {
		for to := range p.domains {
			m.capacities = append(m.capacities, p.links[from][to].bytesPerSecond)
		}
	}
	return m
}

// linkResource returns the index of the link from one domain to another.
func (m *resourceModel) linkResource(from, to int) int {
	return len(m.plan.groups) + from*len(m.plan.domains) + to
}

// hopUse returns the share of a group's endpoint time that one generated token per second takes,
// with the prompt tokens that come with it. Prompt tokens are counted at layerTokenTime each; that
// prefill may be faster (promptTokenTime) is not taken into account.
func (m *resourceModel) hopUse(group, from, to int) float64 {
	t := m.plan.groups[group].timings
	layers := m.plan.boundaries[to] - m.plan.boundaries[from]
	prompt := m.promptPerToken * t.layerTokenTime * float64(layers) / float64(time.Second)
	return (1/t.tokensPerSecond(layers) + prompt) / m.capacities[group]
}

// linkUse returns the share of a link's capacity that one token per second takes.
func (m *resourceModel) linkUse(from, to int) float64 {
	if from == to {
		return 0
	}
	return m.activationBytes * (1 + m.promptPerToken) / m.capacities[m.linkResource(from, to)]
}

func (m *resourceModel) usable(int) bool { return true }

func (m *resourceModel) hopCost(group, from, to int) float64 {
	return m.prices[group] * m.hopUse(group, from, to)
}

func (m *resourceModel) linkCost(from, to int) float64 {
	return m.prices[m.linkResource(from, to)] * m.linkUse(from, to)
}

func (m *resourceModel) entryCost(from, to int) float64 { return m.linkCost(from, to) }

// usage returns the share of each resource that one token per second on a path takes.
func (m *resourceModel) usage(path []pathHop) []float64 {
	use := make([]float64, len(m.capacities))
	for i, p := range path {
		use[p.group] += m.hopUse(p.group, p.from, p.to)
		if i == 0 {
			continue
		}
		from, to := m.plan.groups[path[i-1].group].domain, m.plan.groups[p.group].domain
		use[m.linkResource(from, to)] += m.linkUse(from, to)
	}
	return use
}
