package watch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// View returns what is believed of one endpoint.
func (l *Listed) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known {
		return chicoryhall.EndpointView{State: chicoryhall.EndpointDead}
	}
	if now.Sub(l.estimated) >= estimateLifetime {
		l.estimate(now)
		l.estimated = now
	}
	present, places := e.present(), l.placesOf(e)
	return chicoryhall.EndpointView{
		State: e.state(now), Load: e.load(present), InFlight: e.inFlight, Utilization: math.Max(e.refusedLevel(now)/2, l.readingAt(e, present)),
		Occupancy: fillOf(present, places),
		Full:      now.Sub(e.refusedAt) < l.refusalPause() || places > 0 && present >= places,
	}
}

// fillOf returns the part of the places that is taken, or 0 where they are not known.
func fillOf(present, places float64) float64 {
	if places <= 0 {
		return 0
	}
	return present / places
}

// readingAt is the part of an endpoint's time that goes to reading prompts, where so many requests are
// present: they are replaced by new ones as fast as they leave.
func (l *Listed) readingAt(e *listedEntry, present float64) float64 {
	document, known := l.config.Document(e.listing.Service)
	if !known || len(e.listing.LoadedLayers) == 0 {
		return 0
	}
	accelerator, known := document.Accelerator(e.listing.Accelerator)
	if !known {
		return 0
	}
	held := e.listing.LoadedLayers[0]
	one := accelerator.PromptTokenTime * time.Duration((held.To-held.From)*document.Model.MeanPromptTokens)
	return math.Min(1, present*float64(one)/float64(l.stayOf(e.listing.Service).mean()))
}

func (l *Listed) stayOf(service chicoryhall.ServiceName) *stay {
	known := l.stays[service]
	if known == nil {
		known = &stay{}
		l.stays[service] = known
	}
	return known
}

// refusalPause is how long an endpoint that refused for want of room gets no new work.
func (l *Listed) refusalPause() time.Duration {
	return min(longestPause, max(leastPause, pauseForEach*time.Duration(l.config.Daemons())))
}

// placesOf returns the number of requests that an endpoint has room for, or 0 if unknown.
func (l *Listed) placesOf(e *listedEntry) float64 {
	places := float64(e.listing.Slots)
	document, known := l.config.Document(e.listing.Service)
	if !known || len(e.listing.LoadedLayers) == 0 {
		return places
	}
	held := e.listing.LoadedLayers[0]
	inMemory, bounded := document.MemorySlots(e.listing.Accelerator, held.To-held.From)
	if !bounded {
		return places
	}
	return math.Min(places, inMemory)
}

// Report takes the number of requests that an endpoint said are at it.
func (l *Listed) Report(id chicoryhall.EndpointID, running int) {
	now := l.config.Timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		e.reported, e.reportedAt, e.inFlightThen = running, now, e.inFlight
		l.estimated = time.Time{}
	}
}

// Progressed returns when this daemon's traffic last showed progress at an endpoint.
func (l *Listed) Progressed(id chicoryhall.EndpointID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		return e.progressAt
	}
	return time.Time{}
}

// ByAddress returns the endpoint that is listed at an address.
func (l *Listed) ByAddress(address string) (chicoryhall.EndpointID, bool) {
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
func (l *Listed) Listings() []chicoryhall.Listing {
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
func (l *Listed) Endpoints(service chicoryhall.ServiceName) []chicoryhall.DocumentEndpoint {
	var endpoints []chicoryhall.DocumentEndpoint
	for _, listing := range l.Listings() {
		if listing.Service != service {
			continue
		}
		endpoint := chicoryhall.DocumentEndpoint{
			ID: listing.ID, Address: listing.Address, FailureDomain: listing.FailureDomain,
			Accelerator: listing.Accelerator, Fencing: true,
		}
		if len(listing.LoadedLayers) > 0 {
			endpoint.From, endpoint.To = listing.LoadedLayers[0].From, listing.LoadedLayers[0].To
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
