package pipeline

import (
	"math"
	"slices"
)

// costs prices the parts of a way through a plan.
type costs interface {
	// usable reports whether a group may be part of the way.
	usable(group int) bool
	// hopCost is the cost of a group that runs the layers between two cuts.
	hopCost(group, from, to int) float64
	// linkCost is the cost of the way from one engine's failure domain to another's.
	linkCost(from, to int) float64
	// entryCost is the cost of the way from the daemon's failure domain to that of the first engine.
	entryCost(from, to int) float64
}

// anyDomain stands for a way that may begin or end in every failure domain at no cost.
const anyDomain = -1

// noGroup marks the node at which a way begins.
const noGroup = -1

// node is the cheapest way to one cut that ends in one failure domain.
type node struct {
	cost float64
	// group, from and domain give the last hop and where it came from.
	group  int
	from   int
	domain int
}

// pathHop is one hop of a way: a group that runs the layers between two cuts.
type pathHop struct {
	group int
	from  int
	to    int
}

// pathFinder searches the cheapest way over (cut, failure domain) nodes; its memory is reused.
type pathFinder struct {
	plan  *plan
	nodes []node
	hops  []pathHop
}

// reset makes the finder work on a plan.
func (f *pathFinder) reset(p *plan) {
	f.plan = p
	f.nodes = resized(f.nodes, len(p.boundaries)*len(p.domains))
}

// nodeAt returns the node of a cut and a failure domain.
func (f *pathFinder) nodeAt(cut, domain int) *node {
	return &f.nodes[cut*len(f.plan.domains)+domain]
}

// cheapestPath returns the cheapest hops from cut start to cut end and their cost. The way begins in
// domain before and goes on to domain after; each may be anyDomain. The result is valid until
// the next call.
func (f *pathFinder) cheapestPath(c costs, start, end, before, after int) ([]pathHop, float64, bool) {
	for i := range f.nodes {
		f.nodes[i] = node{cost: math.Inf(1), group: noGroup}
	}
	for domain := range f.plan.domains {
		if before == anyDomain || before == domain {
			f.nodeAt(start, domain).cost = 0
		}
	}
	for cut := start; cut < end; cut++ {
		f.extendFrom(c, cut, end)
	}
	last, cost := f.cheapestEnd(c, end, after)
	if last < 0 {
		return nil, cost, false
	}
	return f.trace(end, last), cost, true
}

// extendFrom extends the ways that have reached a cut by every group that can go on from there.
func (f *pathFinder) extendFrom(c costs, cut, end int) {
	for i := range f.plan.groups {
		g := &f.plan.groups[i]
		if g.from > cut {
			return
		}
		if cut < g.to && c.usable(i) {
			f.extend(c, i, cut, end)
		}
	}
}

// extend adds the hops of one group that start at a cut.
func (f *pathFinder) extend(c costs, group, cut, end int) {
	g := &f.plan.groups[group]
	before, cost := f.cheapestBefore(c, cut, g.domain)
	if before < 0 {
		return
	}
	for to := cut + 1; to <= min(g.to, end); to++ {
		total := cost + c.hopCost(group, cut, to)
		if reached := f.nodeAt(to, g.domain); total < reached.cost {
			*reached = node{cost: total, group: group, from: cut, domain: before}
		}
	}
}

// cheapestBefore returns the domain from which a cut is entered at the least cost, or -1.
func (f *pathFinder) cheapestBefore(c costs, cut, domain int) (int, float64) {
	best, cost := -1, math.Inf(1)
	for before := range f.plan.domains {
		reached := f.nodeAt(cut, before)
		if math.IsInf(reached.cost, 1) {
			continue
		}
		way := c.linkCost(before, domain)
		if cut == 0 {
			way = c.entryCost(before, domain)
		}
		if total := reached.cost + way; total < cost {
			best, cost = before, total
		}
	}
	return best, cost
}

// cheapestEnd returns the domain in which the cheapest way ends, or -1.
func (f *pathFinder) cheapestEnd(c costs, end, after int) (int, float64) {
	best, cost := -1, math.Inf(1)
	for domain := range f.plan.domains {
		total := f.nodeAt(end, domain).cost
		if after != anyDomain {
			total += c.linkCost(domain, after)
		}
		if total < cost {
			best, cost = domain, total
		}
	}
	return best, cost
}

// trace reads the hops of a way back from its end.
func (f *pathFinder) trace(cut, domain int) []pathHop {
	f.hops = f.hops[:0]
	for {
		n := *f.nodeAt(cut, domain)
		if n.group == noGroup {
			slices.Reverse(f.hops)
			return f.hops
		}
		f.hops = append(f.hops, pathHop{group: n.group, from: n.from, to: cut})
		cut, domain = n.from, n.domain
	}
}

// resized returns a zeroed slice of the wanted length that reuses the old memory.
func resized[T any](old []T, length int) []T {
	if cap(old) < length {
		return make([]T, length)
	}
	old = old[:length]
	clear(old)
	return old
}
