package watch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

const (
	// lapseGrace is how long an endpoint that is missing from the list after an outage of the
	// platform is still used: endpoints that live are listed again within that time.
	lapseGrace = 2 * time.Second
	// firstSuspicion and longestSuspicion bound how long an endpoint gets no new work after
	// failures; each failure in a row doubles the time.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
	// trialTime is how long an endpoint that was suspect gets no other work while one request tries it.
	trialTime = 400 * time.Millisecond
	// strikeLifetime is how long an ambiguous failure counts, strikesToSuspect how many of them
	// make an endpoint suspect.
	strikeLifetime   = 2 * time.Second
	strikesToSuspect = 3
	// reportLifetime is how long an endpoint's word on what is at it counts.
	reportLifetime = 2 * time.Second
	// refusalMemory is how long a refusal for want of room counts, less and less.
	refusalMemory = time.Second
	// pauseForEach is how long an endpoint that refused for want of room gets no new work, for each
	// daemon: the more there are, the more surely another one takes the next place. The pause lies
	// between leastPause and longestPause.
	pauseForEach = 20 * time.Millisecond
	leastPause   = 100 * time.Millisecond
	longestPause = time.Second
	// estimateLifetime is how long an estimate of the load of all endpoints is used.
	estimateLifetime = 50 * time.Millisecond
)

// ListedConfig is what a Listed needs.
type ListedConfig struct {
	Timer chicoryhall.Timer
	// Daemons returns the number of daemons that send work to the endpoints, this one included.
	Daemons func() int
	// Neighbours returns the number of daemons of this daemon's failure domain, this one included:
	// most work at its endpoints is theirs.
	Neighbours func() int
	// Document returns the document of a service, for the memory of its endpoints.
	Document func(chicoryhall.ServiceName) (*chicoryhall.Document, bool)
	Log      *event.Logger
}

// Listed is a chicoryhall.Endpoints fed by the platform's list instead of by polls. Leaving from
// any source wins until the endpoint starts again under a new incarnation.
type Listed struct {
	config ListedConfig

	mu      sync.Mutex
	entries map[chicoryhall.EndpointID]*listedEntry
	stays   map[chicoryhall.ServiceName]*stay
	// away tells that the platform cannot be reached, unsettled until when missing entries are kept.
	away      bool
	unsettled time.Time
	// estimated is when the load of all endpoints was last estimated.
	estimated time.Time

	stateSubscribers []func(chicoryhall.EndpointID, chicoryhall.EndpointState)
	listSubscribers  []func(chicoryhall.ServiceName)
}

// NewListed returns a Listed that knows no endpoint yet.
func NewListed(config ListedConfig) *Listed {
	return &Listed{
		config: config, entries: make(map[chicoryhall.EndpointID]*listedEntry), stays: make(map[chicoryhall.ServiceName]*stay),
	}
}

// Replace takes the whole list as read at one moment.
func (l *Listed) Replace(listings []chicoryhall.Listing) {
	named := make(map[chicoryhall.EndpointID]bool, len(listings))
	changes := make([]chicoryhall.ListingChange, 0, len(listings))
	for _, listing := range listings {
		named[listing.ID] = true
		changes = append(changes, chicoryhall.ListingChange{Listing: listing})
	}
	l.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if e := l.entries[id]; !named[id] && !e.gone {
			changes = append(changes, chicoryhall.ListingChange{Listing: e.listing, Removed: true})
		}
	}
	l.mu.Unlock()
	l.Update(changes)
}

// Update takes changes of the list in their order.
func (l *Listed) Update(changes []chicoryhall.ListingChange) {
	now := l.config.Timer.Now()
	for _, change := range changes {
		if change.Removed {
			l.remove(change.Listing.ID, now)
		} else {
			l.list(change.Listing)
		}
	}
}

// Away notes that the platform cannot be reached; what is known stays in use.
func (l *Listed) Away() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// Back notes that the platform answers again; endpoints that are still missing when the time for
// their return is over are dropped.
func (l *Listed) Back() {
	now := l.config.Timer.Now()
	l.mu.Lock()
	wasAway := l.away
	if wasAway {
		l.away = false
		l.unsettled = now.Add(lapseGrace)
	}
	l.mu.Unlock()
	if wasAway {
		l.config.Timer.After(lapseGrace, l.dropMissing)
	}
}

// dropMissing drops the endpoints that have not returned.
func (l *Listed) dropMissing(now time.Time) {
	l.mu.Lock()
	var over []chicoryhall.EndpointID
	for id, e := range l.entries {
		if !e.missingSince.IsZero() && !e.gone && !l.away && !now.Before(l.unsettled) {
			over = append(over, id)
		}
	}
	l.mu.Unlock()
	slices.Sort(over)
	for _, id := range over {
		l.change(id, "missing after the outage", func(e *listedEntry) { e.gone = true })
	}
}

// list takes one listing.
func (l *Listed) list(listing chicoryhall.Listing) {
	l.mu.Lock()
	e, known := l.entries[listing.ID]
	if !known {
		l.entries[listing.ID] = &listedEntry{listing: listing, gone: true}
		e = l.entries[listing.ID]
	}
	same := !e.gone && e.missingSince.IsZero() && sameListing(e.listing, listing)
	l.mu.Unlock()
	if !same {
		l.change(listing.ID, "listed", func(e *listedEntry) { e.take(listing) })
	}
}

// remove takes word that an endpoint is not listed any more.
func (l *Listed) remove(id chicoryhall.EndpointID, now time.Time) {
	l.mu.Lock()
	e, known := l.entries[id]
	keep := l.away || now.Before(l.unsettled)
	l.mu.Unlock()
	switch {
	case !known || e.gone:
	case keep:
		l.change(id, "missing during an outage", func(e *listedEntry) { e.missingSince = now })
	default:
		l.change(id, "removed from the list", func(e *listedEntry) { e.gone = true })
	}
}

// Observe reports what this daemon's traffic showed.
func (l *Listed) Observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	now := l.config.Timer.Now()
	if observed == chicoryhall.ObservedProgress {
		l.mu.Lock()
		e, known := l.entries[id]
		quiet := !known || !e.hasFailed()
		if known {
			e.progressAt = now
		}
		l.mu.Unlock()
		if quiet {
			return
		}
	}
	l.change(id, observed.String(), func(e *listedEntry) { e.observe(observed, now) })
}

// Begin counts one more piece of work at the endpoint.
func (l *Listed) Begin(id chicoryhall.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		now := l.config.Timer.Now()
		e.begin(now)
		l.stayOf(e.listing.Service).begin(now)
	}
}

// End counts one piece of work less at the endpoint.
func (l *Listed) End(id chicoryhall.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	l.stayOf(e.listing.Service).end(l.config.Timer.Now())
	if e.gone && e.inFlight == 0 {
		delete(l.entries, id)
	}
}

// Subscribe calls changed when an endpoint's state changes; it must not block.
func (l *Listed) Subscribe(changed func(id chicoryhall.EndpointID, state chicoryhall.EndpointState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateSubscribers = append(l.stateSubscribers, changed)
}

// SubscribeList calls changed when the endpoints of a service have changed; it must not block.
func (l *Listed) SubscribeList(changed func(chicoryhall.ServiceName)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listSubscribers = append(l.listSubscribers, changed)
}

// change applies one input to an entry and tells the subscribers of what follows from it.
func (l *Listed) change(id chicoryhall.EndpointID, cause string, apply func(*listedEntry)) {
	now := l.config.Timer.Now()
	l.mu.Lock()
	e, known := l.entries[id]
	if !known {
		l.mu.Unlock()
		return
	}
	before, listedBefore, stateBefore := e.listing, !e.gone, e.state(now)
	apply(e)
	after, listedAfter, stateAfter := e.listing, !e.gone, e.state(now)
	if e.gone && e.inFlight == 0 {
		delete(l.entries, id)
	}
	stateSubscribers, listSubscribers := l.stateSubscribers, l.listSubscribers
	l.mu.Unlock()
	listChanged := listedBefore != listedAfter || !sameListing(before, after)
	if stateBefore != stateAfter || listChanged {
		l.config.Log.Log(event.EndpointStateChanged, "endpoint", id, "service", after.Service, "address", after.Address,
			"before", stateBefore, "after", stateAfter, "cause", cause, "incarnation", after.Incarnation)
		for _, changed := range stateSubscribers {
			changed(id, stateAfter)
		}
	}
	if listChanged {
		for _, changed := range listSubscribers {
			changed(after.Service)
		}
	}
}
