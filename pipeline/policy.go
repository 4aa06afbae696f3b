package pipeline

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=Policy -json -text -transform=title-lower -trimprefix=Policy -output=policy_enumer.go

// Policy is a way to choose routes.
type Policy int

// The policies; the last two are baselines for comparison.
const (
	// PolicyFlow follows the shares of the maximum flow and the expected completion time.
	PolicyFlow Policy = iota
	// PolicyShortest takes the shortest path by the expected completion time, so that fast chains
	// fill up first.
	PolicyShortest
	// PolicyRoundRobin takes the engines that hold the next layer in turn.
	PolicyRoundRobin
	// PolicyLeastLoad takes the engine that reports the fewest streams.
	PolicyLeastLoad
)

// Options tune a router.
type Options struct {
	// Policy is how routes are chosen.
	Policy Policy
	// Seed fixes the random draws.
	Seed uint64
	// CrossDomainCost is what a link between two engines of different failure domains costs on top of its
	// own time, where all requests share such links.
	CrossDomainCost time.Duration
	// MaxBias is the greatest part by which an engine looks slower to the daemon of this seed than to others.
	MaxBias float64
}

// New returns a router over the daemon's view of endpoints.
func New(endpoints chicoryhall.Endpoints, options Options) chicoryhall.Router {
	if options.Policy == PolicyFlow || options.Policy == PolicyShortest {
		return newRouter(endpoints, options)
	}
	return newBaseline(endpoints, options.Policy)
}
