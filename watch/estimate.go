package watch

import (
	"math"
	"time"

	"chicoryhall.example/chicoryhall"
)

// groupKey identifies the endpoints of one service in one failure domain.
type groupKey struct {
	domain  chicoryhall.FailureDomain
	service chicoryhall.ServiceName
}

// groupLoad sums the requests of this daemon and of all daemons at those endpoints of a group that have a
// recent report.
type groupLoad struct {
	ownRequests float64
	allRequests float64
}

// scale returns the estimated ratio of all daemons' requests to this daemon's own, at most the number of
// daemons. Without reports it is the number of neighbours, as each is assumed to send as much as this daemon;
// the more requests the reports cover, the less that assumption weighs.
func (g *groupLoad) scale(daemons, neighbours int) float64 {
	return math.Min((g.allRequests+float64(neighbours))/(g.ownRequests+1), float64(daemons))
}

// updateScales sets the scale of each endpoint without a recent report from the recent reports of its
// group. The caller holds the lock.
func (l *ListedEndpoints) updateScales(now time.Time) {
	groups := make(map[groupKey]*groupLoad)
	for _, e := range l.entries {
		group := groups[groupOf(e)]
		if group == nil {
			group = &groupLoad{}
			groups[groupOf(e)] = group
		}
		if e.hasRecentReport(now) {
			group.ownRequests += float64(e.inFlight)
			group.allRequests += e.requestsByReport()
		}
	}
	daemons, neighbours := l.config.Daemons(), l.config.Neighbours()
	for _, e := range l.entries {
		e.scale = groups[groupOf(e)].scale(daemons, neighbours)
		if e.hasRecentReport(now) {
			e.scale = 0
		}
	}
}

func groupOf(e *listedEntry) groupKey {
	return groupKey{domain: e.listing.FailureDomain, service: e.listing.Service}
}

// requestsByReport returns the number of requests in the endpoint's last report, corrected by the change
// of this daemon's own requests since then.
func (e *listedEntry) requestsByReport() float64 {
	return math.Max(float64(e.inFlight), float64(e.reportedRequests+e.inFlight-e.inFlightAtReport))
}
