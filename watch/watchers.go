package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chicoryhall.example/chicoryhall"
)

// watchersPerEndpoint is the number of daemons that poll one endpoint.
const watchersPerEndpoint = 2

// Watchers returns the daemons that poll an endpoint; the first one polls most often. They are chosen by
// rendezvous hashing among the daemons in state MemberAlive: those of the endpoint's failure domain, or all of
// them if there is none in that domain.
func Watchers(endpoint chicoryhall.EndpointID, domain chicoryhall.FailureDomain, members []chicoryhall.Member) []chicoryhall.DaemonID {
	var near, all []chicoryhall.DaemonID
	for _, member := range members {
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		all = append(all, member.ID)
		if member.FailureDomain == domain {
			near = append(near, member.ID)
		}
	}
	if len(near) > 0 {
		all = near
	}
	score := func(id chicoryhall.DaemonID) uint64 { return xxhash.Sum64String(string(endpoint) + "/" + string(id)) }
	slices.SortFunc(all, func(a, b chicoryhall.DaemonID) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return all[:min(len(all), watchersPerEndpoint)]
}
