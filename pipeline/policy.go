package pipeline

import (
	"time"

	"chicoryhall.example/chicoryhall"
)

//go:generate go tool enumer -type=Policy -json -text -transform=title-lower -trimprefix=Policy -output=policy_enumer.go

// Policy selects how routes are chosen.
type Policy int

// The policies. The last two are baselines for comparison.
const (
	// PolicyFlow draws two paths at random by their shares of the maximum flow. It takes the first,
	// or the second if its expected completion time is much shorter.
	PolicyFlow Policy = iota
	// PolicyShortest takes the path with the shortest expected completion time, so that fast chains
	// fill up first.
	PolicyShortest
	// PolicyRoundRobin takes the endpoints that hold the next layer in turn.
	PolicyRoundRobin
	// PolicyLeastLoad takes the endpoint that reports the fewest streams.
	PolicyLeastLoad
)

// Options configure a router.
type Options struct {
	// Policy is how routes are chosen.
	Policy Policy
	// Seed seeds the random choices and distinguishes daemons for MaxBias.
	Seed uint64
	// CrossDomainCost is added to the time of a link between two endpoints of different failure
	// domains, because all requests share such links.
	CrossDomainCost time.Duration
	// HomeFirst reports whether the router has to prefer the daemon's own failure domain: another one's chain of engines is then used
	// only if there is no chain with room at home, even if it is faster. That is better where the load is known at home only. Nil
	// means never.
	HomeFirst func() bool
	// MaxBias is the largest fraction by which a router overestimates the time of an endpoint. The
	// fraction depends on Seed, so that daemons prefer different endpoints.
	MaxBias float64
}

// New returns a router for a daemon's view of the endpoints.
func New(endpoints chicoryhall.Endpoints, options Options) chicoryhall.Router {
	if options.Policy == PolicyFlow || options.Policy == PolicyShortest {
		return newRouter(endpoints, options)
	}
	return newBaseline(endpoints, options.Policy)
}
