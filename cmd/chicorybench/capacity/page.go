package capacity

import (
	"fmt"
	"io"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/slope"
)

// cell is one cost of one role.
type cell struct {
	cost float64
	// sources name the measurements and factors that gave the cost.
	sources []string
	missing []string
}

// WritePage writes the capacity page from the measurements.
func WritePage(w io.Writer, f *slope.File) error {
	p := &page{file: f}
	p.head()
	p.table()
	p.notBuilt()
	p.data()
	p.platform()
	p.observed()
	p.failures()
	p.measurements()
	_, err := io.WriteString(w, p.text.String())
	return err
}

// page gathers the text.
type page struct {
	file *slope.File
	text strings.Builder
	sums [3]float64
}

func (p *page) line(format string, arguments ...any) {
	fmt.Fprintf(&p.text, format+"\n", arguments...)
}

func (p *page) head() {
	p.line("# Capacity at the design size")
	p.line("")
	p.line("Made by `make capacity` from docs/capacity/slopes.json; do not edit.")
	p.line("")
	p.line("Design size: %d daemons (%d in a failure domain), %d engines, %d models, %d organisations, %.0f requests/s, %.0f tokens/s, %.0f changes of configuration a day.",
		designDaemons, daemonsPerDomain, designEngines, designModels, designOrganisations, designRequestsPerSecond, designTokensPerSecond, designChangesPerDay)
	p.line("So one daemon carries %.1f requests/s and %.0f tokens/s, and one model has %d engines.",
		requestsPerDaemonSecond, tokensPerDaemonSecond, enginesPerModel)
	p.line("")
}

func (p *page) table() {
	p.line("## Control in one daemon")
	p.line("")
	p.line("| role | state | mechanism | memory MB | messages KB/s | %% of a core |")
	p.line("|---|---|---|---|---|---|")
	for _, r := range roles() {
		p.line("| %s | %s | %s | %s | %s | %s |", r.name, r.state, r.mechanism,
			p.cell(&r, 0, r.memory, limitMegabytes), p.cell(&r, 1, r.messages, limitKilobytes), p.cell(&r, 2, r.processor, limitCorePercent))
	}
	p.line("| **sum of every daemon** | | | %s | %s | %s |",
		mark(p.sums[0], limitMegabytes), mark(p.sums[1], limitKilobytes), mark(p.sums[2], limitCorePercent))
	p.line("| limit | | | %.0f | %.0f | %.1f |", limitMegabytes, limitKilobytes, limitCorePercent)
	p.line("")
	p.line("How each figure comes about:")
	p.line("")
	for _, r := range roles() {
		p.explain(r.name, "memory", r.memory)
		p.explain(r.name, "messages", r.messages)
		p.explain(r.name, "processor", r.processor)
	}
	p.line("")
}

// mark writes a sum, and says so when it is over its limit.
func mark(sum, limit float64) string {
	if sum > limit {
		return fmt.Sprintf("**%.3g (over by %.3g)**", sum, sum-limit)
	}
	return fmt.Sprintf("%.3g (margin %.3g)", sum, limit-sum)
}

func (p *page) cell(r *role, column int, terms []term, limit float64) string {
	if len(terms) == 0 {
		return "-"
	}
	c := p.work(terms)
	if len(c.missing) > 0 {
		return "not measured"
	}
	if r.apart {
		return mark(c.cost, limit)
	}
	p.sums[column] += c.cost
	return fmt.Sprintf("%.3g", c.cost)
}

func (p *page) work(terms []term) cell {
	var c cell
	for _, t := range terms {
		m, err := p.file.Find(t.measurement)
		if err != nil {
			c.missing = append(c.missing, t.measurement)
			continue
		}
		c.cost += t.times * m.Line.At(t.size)
		c.sources = append(c.sources, fmt.Sprintf("%s at %.4g %s = %.4g %s (spread %.2g), %s",
			t.measurement, t.size, m.Driver, m.Line.At(t.size), m.Unit, m.Line.Spread, t.says))
	}
	return c
}

func (p *page) explain(role, column string, terms []term) {
	if len(terms) == 0 {
		return
	}
	c := p.work(terms)
	for _, missing := range c.missing {
		c.sources = append(c.sources, missing+" is not measured")
	}
	p.line("- %s, %s: %s.", role, column, strings.Join(c.sources, "; "))
}

func (p *page) measurements() {
	p.line("## Measurements")
	p.line("")
	p.line("| measurement | intercept | slope | spread | unit | driver | sizes | command |")
	p.line("|---|---|---|---|---|---|---|---|")
	for _, m := range p.file.Measurements {
		p.line("| %s | %.4g | %.4g | %.2g | %s | %s | %s | `%s` |",
			m.Name, m.Line.Intercept, m.Line.Slope, m.Line.Spread, m.Unit, m.Driver, sizesOf(m.Points), m.Command)
	}
}

func sizesOf(points []slope.Point) string {
	var sizes []string
	last := -1.0
	for _, point := range points {
		if point.Size != last {
			sizes = append(sizes, fmt.Sprintf("%g", point.Size))
			last = point.Size
		}
	}
	return strings.Join(sizes, ", ")
}

// observed extrapolates what real daemons showed, with the spread of the points.
func (p *page) observed() {
	p.line("## Real daemons, extrapolated")
	p.line("")
	p.line("Whole daemons without load, at the sizes that fit one machine; the line is carried to the design size.")
	p.line("")
	p.line("| measurement | at the largest size | at the design size | spread | unit |")
	p.line("|---|---|---|---|---|")
	for _, m := range p.file.Measurements {
		size, known := observedSizes[m.Driver]
		if !known || !strings.HasPrefix(m.Name, "observed") {
			continue
		}
		last := m.Points[len(m.Points)-1]
		p.line("| %s | %.4g at %g | %.4g at %g | %.2g | %s |", m.Name, last.Cost, last.Size, m.Line.At(size), size, m.Line.Spread, m.Unit)
	}
	p.line("")
}

// observedSizes are the drivers of observed measurements at the design size.
var observedSizes = map[string]float64{"daemons": designDaemons, "engines": designEngines}
