package watch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// View returns the state and estimated load of an endpoint. An unknown one counts as dead, like one that is not
// listed any more. Load.Running is the estimated number of other daemons' requests only; InFlight counts those of
// this daemon. Utilization is the fraction of the endpoint's time that prompts take, but after a recent refusal at
// least a value that falls from one half to 0. Occupancy is the fraction of the slots or of the concurrency limit in
// use, whichever are fewer. Full is set if all slots or all of a strict limit are in use, for a pause after a refusal,
// and while the endpoint is Paused.
func (l *ListedEndpoints) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known {
		return chicoryhall.EndpointView{State: chicoryhall.EndpointDead}
	}
	if now.Sub(l.loadRatiosUpdatedAt) >= loadRatiosMaxAge {
		l.updateLoadRatios(now)
		l.loadRatiosUpdatedAt = now
	}
	expected, slots := e.expectedRequests(now), l.slotsOf(e)
	limit, strict := l.limitOf(e, slots, now)
	paused := now.Before(e.said.pausedUntil)
	return chicoryhall.EndpointView{
		State: e.state(now), WeaklySuspect: e.isWeaklySuspect(now), Load: e.load(expected), InFlight: e.inFlight,
		Utilization: math.Max(e.refusalWeight(now)/2, l.promptShare(e, expected)),
		Occupancy:   occupancyOf(expected, slots, limit), LoadTold: e.hasTold(now), Limit: strictLimit(slots, limit, strict),
		Full:   paused || now.Sub(e.refusedAt) < l.refusalPause() || slots > 0 && (expected >= slots || strict && expected >= limit),
		Paused: paused,
	}
}

// occupancyOf returns the fraction of the slots that is in use, or 0 if their number is not known. If the limit is lower, it is the
// fraction of the limit, at most 1.
func occupancyOf(expected, slots, limit float64) float64 {
	switch {
	case slots <= 0:
		return 0
	case limit >= slots:
		return expected / slots
	case expected >= limit:
		return math.Max(1, expected/slots)
	default:
		return expected / limit
	}
}

// strictLimit returns a limit if it is strict and below the slots, otherwise 0. A limit of 0 is a turn of other daemons, which the
// endpoint counts as full for.
func strictLimit(slots, limit float64, strict bool) float64 {
	if strict && limit < slots {
		return limit
	}
	return 0
}

// promptShare returns the fraction of an endpoint's time that it spends on processing prompts, if it runs the
// given number of requests. It assumes a steady state in which each request that ends is followed by a new
// one: during one mean request time, the endpoint then processes as many prompts as it runs requests.
func (l *ListedEndpoints) promptShare(e *listedEntry, expected float64) float64 {
	document, known := l.config.Document(e.listing.Service)
	if !known || len(e.listing.LoadedLayers) == 0 {
		return 0
	}
	accelerator, known := document.Accelerator(e.listing.Accelerator)
	if !known {
		return 0
	}
	layers := e.listing.LoadedLayers[0]
	promptTime := accelerator.PromptTokenTime * time.Duration((layers.To-layers.From)*document.Model.MeanPromptTokens)
	return math.Min(1, expected*float64(promptTime)/float64(l.requestTimeOf(e.listing.Service).mean()))
}

func (l *ListedEndpoints) requestTimeOf(service chicoryhall.ServiceName) *requestTime {
	learned := l.requestTimes[service]
	if learned == nil {
		learned = &requestTime{}
		l.requestTimes[service] = learned
	}
	return learned
}

// refusalPause returns how long an endpoint that refused for lack of room gets no new work.
func (l *ListedEndpoints) refusalPause() time.Duration {
	return min(maxRefusalPause, max(minRefusalPause, refusalPausePerDaemon*time.Duration(l.config.Daemons())))
}

// slotsOf returns the number of requests that an endpoint has room for, or 0 if it is not known. It is the
// smaller of the listed slots and what fits into the accelerator's memory.
func (l *ListedEndpoints) slotsOf(e *listedEntry) float64 {
	slots := float64(e.listing.Slots)
	document, known := l.config.Document(e.listing.Service)
	if !known || len(e.listing.LoadedLayers) == 0 {
		return slots
	}
	layers := e.listing.LoadedLayers[0]
	inMemory, bounded := document.MemorySlots(e.listing.Accelerator, layers.To-layers.From)
	if !bounded {
		return slots
	}
	return math.Min(slots, inMemory)
}

// ReportRunning records the number of running requests that an endpoint reported.
func (l *ListedEndpoints) ReportRunning(id chicoryhall.EndpointID, running int) {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		e.reportedRequests, e.reportedAt, e.inFlightAtReport = running, now, e.inFlight
		l.loadRatiosUpdatedAt = time.Time{}
	}
}

// Load returns the number of requests that this daemon has at each endpoint where it has any.
func (l *ListedEndpoints) Load() map[chicoryhall.EndpointID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := make(map[chicoryhall.EndpointID]int)
	for id, e := range l.entries {
		if e.inFlight > 0 {
			load[id] = e.inFlight
		}
	}
	return load
}

// ReportOthers records the requests that the given number of other daemons of this failure domain have at each endpoint. It
// concerns the engines of the failure domain, which get their requests from its daemons; other endpoints get them from all.
// Daemons that have not told theirs are assumed to have as many.
func (l *ListedEndpoints) ReportOthers(requests map[chicoryhall.EndpointID]int, daemons int) {
	now := l.config.Timer.Now()
	others := l.config.DomainDaemons() - 1
	if daemons <= 0 || others <= 0 {
		return
	}
	scale := math.Max(1, float64(others)/float64(daemons))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.toldAt = now
	for id, e := range l.entries {
		if e.listing.FailureDomain == l.config.FailureDomain && len(e.listing.LoadedLayers) > 0 {
			e.toldRequests, e.toldAt = scale*float64(requests[id]), now
		}
	}
	l.advanceLimits(now)
}

// KnowsLoad reports whether other daemons tell this one of their requests at the engines of the failure domain.
func (l *ListedEndpoints) KnowsLoad() bool {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.toldAt.IsZero() && now.Sub(l.toldAt) <= toldMaxAge
}

// LastProgress returns when this daemon's traffic last showed progress at an endpoint.
func (l *ListedEndpoints) LastProgress(id chicoryhall.EndpointID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		return e.lastProgress
	}
	return time.Time{}
}

// ListedAt returns the address of a listed endpoint and when it was first listed there; the address is empty if it is not
// listed.
func (l *ListedEndpoints) ListedAt(id chicoryhall.EndpointID) (string, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known || e.gone {
		return "", time.Time{}
	}
	return e.listing.Address, e.listedAt
}

// FailureDomain returns the failure domain of a listed endpoint.
func (l *ListedEndpoints) FailureDomain(id chicoryhall.EndpointID) (chicoryhall.FailureDomain, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known || e.gone {
		return "", false
	}
	return e.listing.FailureDomain, true
}

// ByAddress returns the endpoint that is listed at an address.
func (l *ListedEndpoints) ByAddress(address string) (chicoryhall.EndpointID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		if e.listing.Address == address && !e.gone {
			return id, true
		}
	}
	return "", false
}

// Listings returns the endpoints that are listed, ordered by ID.
func (l *ListedEndpoints) Listings() []chicoryhall.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []chicoryhall.Listing
	for _, e := range l.entries {
		if !e.gone {
			all = append(all, e.listing)
		}
	}
	slices.SortFunc(all, func(a, b chicoryhall.Listing) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Endpoints returns the endpoints of one service, ordered by ID.
func (l *ListedEndpoints) Endpoints(service chicoryhall.ServiceName) []chicoryhall.DocumentEndpoint {
	var endpoints []chicoryhall.DocumentEndpoint
	for _, listing := range l.Listings() {
		if listing.Service != service {
			continue
		}
		endpoint := chicoryhall.DocumentEndpoint{
			ID: listing.ID, Address: listing.Address, FailureDomain: listing.FailureDomain,
			Accelerator: listing.Accelerator, Fencing: true, Slots: listing.Slots,
		}
		if len(listing.LoadedLayers) > 0 {
			endpoint.From, endpoint.To = listing.LoadedLayers[0].From, listing.LoadedLayers[0].To
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
