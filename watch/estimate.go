package watch

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

// groupKey names the endpoints of one service in one failure domain.
type groupKey struct {
	domain  chicoryhall.FailureDomain
	service chicoryhall.ServiceName
}

// groupLoad is what is known of the load of a group's endpoints: this daemon's and all daemons' requests
// at those that reported lately.
type groupLoad struct {
	own float64
	all float64
}

// scale returns how many times this daemon's own work the group has, at most the number of daemons.
func (g *groupLoad) scale(daemons, neighbours int) float64 {
	return math.Min((g.all+float64(neighbours))/(g.own+1), float64(daemons))
}

// estimate renews by how much this daemon's own work is scaled at the endpoints that did not report
// lately, by what the reports of their group show. The lock is held.
func (l *Listed) estimate(now time.Time) {
	groups := make(map[groupKey]*groupLoad)
	for _, e := range l.entries {
		group := groups[keyOf(e)]
		if group == nil {
			group = &groupLoad{}
			groups[keyOf(e)] = group
		}
		if e.isReported(now) {
			group.own += float64(e.inFlight)
			group.all += e.byReport()
		}
	}
	daemons, neighbours := l.config.Daemons(), l.config.Neighbours()
	for _, e := range l.entries {
		e.scale = groups[keyOf(e)].scale(daemons, neighbours)
		if e.isReported(now) {
			e.scale = 0
		}
	}
}

func keyOf(e *listedEntry) groupKey {
	return groupKey{domain: e.listing.FailureDomain, service: e.listing.Service}
}

// byReport is the number of requests that the endpoint told of, with this daemon's changes since.
func (e *listedEntry) byReport() float64 {
	return math.Max(float64(e.inFlight), float64(e.reported+e.inFlight-e.inFlightThen))
}
