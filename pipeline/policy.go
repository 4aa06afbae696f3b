package pipeline

import "chicoryhall.example/chicoryhall"

//go:generate go tool enumer -type=Policy -json -text -transform=title-lower -trimprefix=Policy -output=policy_enumer.go

// Policy is a way to choose routes.
type Policy int

// The policies; all but PolicyFlow are baselines for comparison.
const (
	// PolicyFlow follows the shares of the maximum flow and the expected completion time.
	PolicyFlow Policy = iota
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
}

// New returns a router over the daemon's view of endpoints.
func New(endpoints chicoryhall.Endpoints, options Options) chicoryhall.Router {
	if options.Policy == PolicyFlow {
		return newRouter(endpoints, options)
	}
	return newBaseline(endpoints, options.Policy)
}
