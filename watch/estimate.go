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

// groupLoad counts requests at those endpoints of a group that have a recent report: ownRequests those of this
// daemon, allRequests those of all daemons including this one.
type groupLoad struct {
	ownRequests float64
	allRequests float64
}

// ratio returns the estimated ratio of all daemons' requests to this daemon's own, at most the number of
// daemons. Without reports it is the number of daemons in this failure domain, as each of them is assumed to
// send as much as this one. The more requests the reports cover, the less that assumption weighs.
func (g *groupLoad) ratio(daemons, domainDaemons int) float64 {
	return math.Min((g.allRequests+float64(domainDaemons))/(g.ownRequests+1), float64(daemons))
}

// updateLoadRatios sets the load ratio of each endpoint: that of its group if it has no recent report,
// otherwise 0. The caller holds the lock.
func (l *ListedEndpoints) updateLoadRatios(now time.Time) {
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
	daemons, domainDaemons := l.config.Daemons(), l.config.DomainDaemons()
	for _, e := range l.entries {
		e.loadRatio = groups[groupOf(e)].ratio(daemons, domainDaemons)
		if e.hasRecentReport(now) {
			e.loadRatio = 0
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
