package pipeline

import (
	"math"
	"slices"
)

// costs gives the costs of the parts of a path through a plan.
type costs interface {
	// usable reports whether a group may be part of the path.
	usable(group int) bool
	// hopCost is the cost of a group that runs the layers between two boundaries.
	hopCost(group, from, to int) float64
	// linkCost is the cost of the link from one endpoint's failure domain to the next one's.
	linkCost(from, to int) float64
	// entryCost is the cost of the link from the daemon's failure domain to that of the first
	// endpoint.
	entryCost(from, to int) float64
}

// anyDomain means that a path may begin or end in any failure domain at no cost.
const anyDomain = -1

// noGroup marks the node at which a path begins.
const noGroup = -1

// node describes the cheapest path that reaches one boundary in one failure domain.
type node struct {
	cost float64
	// The last hop of the path: its group, the boundary where it begins, and the failure domain of
	// the hop before it.
	group          int
	from           int
	previousDomain int
}

// pathHop is one hop of a path: a group that runs the layers between two boundaries.
type pathHop struct {
	group int
	from  int
	to    int
}

// pathFinder searches the cheapest path over nodes of a boundary and a failure domain. It reuses
// its memory.
type pathFinder struct {
	plan  *plan
	nodes []node
	hops  []pathHop
}

// reset sets the plan to search.
func (f *pathFinder) reset(p *plan) {
	f.plan = p
	f.nodes = resized(f.nodes, len(p.boundaries)*len(p.domains))
}

// nodeAt returns the node of a boundary and a failure domain.
func (f *pathFinder) nodeAt(boundary, domain int) *node {
	return &f.nodes[boundary*len(f.plan.domains)+domain]
}

// cheapestPath returns the cheapest hops from boundary start to boundary end, and their cost. The
// parameters before and after are the indexes of the failure domains where the path comes from and
// goes to, or anyDomain. The cost includes the links from there to the first hop and from the last
// hop to there. The result is valid until the next call.
func (f *pathFinder) cheapestPath(c costs, start, end, before, after int) ([]pathHop, float64, bool) {
	for i := range f.nodes {
		f.nodes[i] = node{cost: math.Inf(1), group: noGroup}
	}
	for domain := range f.plan.domains {
		if before == anyDomain || before == domain {
			f.nodeAt(start, domain).cost = 0
		}
	}
	for boundary := start; boundary < end; boundary++ {
		f.extendFrom(c, boundary, end)
	}
	last, cost := f.cheapestEnd(c, end, after)
	if last < 0 {
		return nil, cost, false
	}
	return f.trace(end, last), cost, true
}

// extendFrom extends the paths that have reached a boundary by every usable group that holds the
// layers after it.
func (f *pathFinder) extendFrom(c costs, boundary, end int) {
	for i := range f.plan.groups {
		g := &f.plan.groups[i]
		if g.from > boundary {
			return
		}
		if boundary < g.to && c.usable(i) {
			f.extend(c, i, boundary, end)
		}
	}
}

// extend adds the hops of one group that start at a boundary.
func (f *pathFinder) extend(c costs, group, boundary, end int) {
	g := &f.plan.groups[group]
	before, cost := f.cheapestBefore(c, boundary, g.domain)
	if before < 0 {
		return
	}
	for to := boundary + 1; to <= min(g.to, end); to++ {
		total := cost + c.hopCost(group, boundary, to)
		if reached := f.nodeAt(to, g.domain); total < reached.cost {
			*reached = node{cost: total, group: group, from: boundary, previousDomain: before}
		}
	}
}

// cheapestBefore returns the domain from which the given domain is reached at the least cost at a
// boundary, or -1.
func (f *pathFinder) cheapestBefore(c costs, boundary, domain int) (int, float64) {
	best, cost := -1, math.Inf(1)
	for before := range f.plan.domains {
		reached := f.nodeAt(boundary, before)
		if math.IsInf(reached.cost, 1) {
			continue
		}
		link := c.linkCost(before, domain)
		if boundary == 0 {
			link = c.entryCost(before, domain)
		}
		if total := reached.cost + link; total < cost {
			best, cost = before, total
		}
	}
	return best, cost
}

// cheapestEnd returns the domain in which the cheapest path ends, or -1.
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

// trace returns the hops of the path that ends at the given node.
func (f *pathFinder) trace(boundary, domain int) []pathHop {
	f.hops = f.hops[:0]
	for {
		n := *f.nodeAt(boundary, domain)
		if n.group == noGroup {
			slices.Reverse(f.hops)
			return f.hops
		}
		f.hops = append(f.hops, pathHop{group: n.group, from: n.from, to: boundary})
		boundary, domain = n.from, n.previousDomain
	}
}

// resized returns a zeroed slice of the given length that reuses the old memory if possible.
func resized[T any](old []T, length int) []T {
	if cap(old) < length {
		return make([]T, length)
	}
	old = old[:length]
	clear(old)
	return old
}
