package watch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
)

const (
	// relistTime is how long an endpoint that is missing from the list after an outage of the
	// platform stays in use: live endpoints are listed again within that time.
	relistTime = 2 * time.Second
	// minSuspicion and maxSuspicion bound how long an endpoint stays suspect after a failure;
	// each consecutive failure doubles the time.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// trialTime is how long an endpoint that was suspect gets no further work after the first request
	// that tries it again.
	trialTime = 400 * time.Millisecond
	// A broken connection or a slow answer may have a cause other than the endpoint. It makes the endpoint
	// suspect only if ambiguousFailuresToSuspect of them occur within ambiguousFailureMaxAge.
	ambiguousFailureMaxAge     = 2 * time.Second
	ambiguousFailuresToSuspect = 3
	// reportMaxAge is how long an endpoint's report of its running requests is used.
	reportMaxAge = 2 * time.Second
	// refusalDecayTime is the time over which the weight of a refusal for lack of room falls to 0.
	refusalDecayTime = time.Second
	// An endpoint that refused for lack of room gets no new work for refusalPausePerDaemon times the number of
	// daemons: the more daemons there are, the likelier another one takes the next free slot. The pause is at
	// least minRefusalPause and at most maxRefusalPause.
	refusalPausePerDaemon = 20 * time.Millisecond
	minRefusalPause       = 100 * time.Millisecond
	maxRefusalPause       = time.Second
	// toldMaxAge is how long the requests count that other daemons have told of. They tell them several times in it.
	toldMaxAge = time.Second
	// loadRatiosMaxAge is how long the ratios of updateLoadRatios are used.
	loadRatiosMaxAge = 50 * time.Millisecond
)

// ListedConfig configures a ListedEndpoints.
type ListedConfig struct {
	Timer chicoryhall.Timer
	// FailureDomain is that of this daemon.
	FailureDomain chicoryhall.FailureDomain
	// Daemons returns the number of daemons that send work to the endpoints, this one included.
	Daemons func() int
	// DomainDaemons returns the number of daemons in this daemon's failure domain, this one included. They
	// send most of the work of the failure domain's endpoints.
	DomainDaemons func() int
	// Document returns the document of a service; it tells how many requests fit into the memory of
	// an endpoint and how long prompts take.
	Document func(chicoryhall.ServiceName) (*chicoryhall.Document, bool)
	// Random returns numbers from 0 up to 1, by which daemons try a suspect at different times. If it is nil, package rand does.
	Random func() float64
	// Pacing is set if the number of requests at an endpoint is limited by how it answers, see package concurrency.
	Pacing bool
	Log    *event.Logger
}

// ListedEndpoints is a chicoryhall.Endpoints fed by the platform's list of endpoints instead of by polls.
type ListedEndpoints struct {
	config ListedConfig

	mu           sync.Mutex
	entries      map[chicoryhall.EndpointID]*listedEntry
	statements   statements
	requestTimes map[chicoryhall.ServiceName]*requestTime
	// pacing is nil if it is not enabled.
	pacing *pacing
	// toldAt is when other daemons of the failure domain last told of their requests, or zero.
	toldAt time.Time
	// platformDown is set while the platform cannot be reached.
	platformDown bool
	// relistUntil is the end of the time after an outage in which entries that are missing from the list are kept.
	relistUntil time.Time
	// loadRatiosUpdatedAt is when updateLoadRatios last ran; the zero time makes View run it again.
	loadRatiosUpdatedAt time.Time

	// progressAt is when this daemon's traffic last showed progress at any endpoint.
	progressAt time.Time

	failureSubscribers []func()
	stateSubscribers   []func(chicoryhall.EndpointID, chicoryhall.EndpointState)
	listSubscribers    []func(chicoryhall.ServiceName)
}

// NewListedEndpoints returns a ListedEndpoints that knows no endpoint yet.
func NewListedEndpoints(config ListedConfig) *ListedEndpoints {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	return &ListedEndpoints{
		config: config, entries: make(map[chicoryhall.EndpointID]*listedEntry), statements: newStatements(),
		requestTimes: make(map[chicoryhall.ServiceName]*requestTime), pacing: newPacing(config.Pacing),
	}
}

// Replace replaces the list; endpoints that are not among the listings are removed.
func (l *ListedEndpoints) Replace(listings []chicoryhall.Listing) {
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
	l.markListed()
}

// Update applies changes of the list in order.
func (l *ListedEndpoints) Update(changes []chicoryhall.ListingChange) {
	now := l.config.Timer.Now()
	for _, change := range changes {
		if change.Removed {
			l.remove(change.Listing.ID, now)
		} else {
			l.add(change.Listing, now)
		}
	}
}

// Unavailable records that the platform cannot be reached. The known endpoints stay in use.
func (l *ListedEndpoints) Unavailable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformDown = true
}

// Available records that the platform answers again. Endpoints that are still missing from the list after
// relistTime are dropped.
func (l *ListedEndpoints) Available() {
	now := l.config.Timer.Now()
	l.mu.Lock()
	wasDown := l.platformDown
	l.platformDown = false
	l.mu.Unlock()
	if wasDown {
		l.awaitRelisting(now)
	}
}

// Restored records that the list has returned to an earlier state, after which the endpoints list themselves again.
func (l *ListedEndpoints) Restored() { l.awaitRelisting(l.config.Timer.Now()) }

// awaitRelisting keeps endpoints that are missing from the list until relistTime after now.
func (l *ListedEndpoints) awaitRelisting(now time.Time) {
	l.mu.Lock()
	l.relistUntil = now.Add(relistTime)
	l.mu.Unlock()
	l.config.Timer.After(relistTime, l.dropMissing)
}

// dropMissing drops the endpoints that are missing from the list since the outage.
func (l *ListedEndpoints) dropMissing(now time.Time) {
	l.mu.Lock()
	var missing []chicoryhall.EndpointID
	for id, e := range l.entries {
		if !e.missingSince.IsZero() && !e.gone && !l.platformDown && !now.Before(l.relistUntil) {
			missing = append(missing, id)
		}
	}
	l.mu.Unlock()
	slices.Sort(missing)
	for _, id := range missing {
		l.change(id, "missing after the outage", func(e *listedEntry) { e.gone = true })
	}
}

// add applies a new or changed listing. An endpoint that was leaving still is after an outage, unless it has started anew: the
// store may have returned with an older row of it.
func (l *ListedEndpoints) add(listing chicoryhall.Listing, now time.Time) {
	l.mu.Lock()
	e, known := l.entries[listing.ID]
	if known && now.Before(l.relistUntil) && !e.restartedBy(listing) {
		listing.Leaving = listing.Leaving || e.listing.Leaving
	}
	if !known {
		e = l.newEntry(listing, now)
	}
	e.said.pause(l.statements.pausedPlaces[placeOf(listing)])
	unchanged := !e.gone && e.missingSince.IsZero() && equalListings(e.listing, listing)
	l.mu.Unlock()
	if !unchanged {
		l.change(listing.ID, "listed", func(e *listedEntry) { l.applyListing(e, listing, now) })
	}
}

// newEntry adds the entry of an endpoint. The change that follows lists it, so that the subscribers are notified. The caller
// holds l.mu.
func (l *ListedEndpoints) newEntry(listing chicoryhall.Listing, now time.Time) *listedEntry {
	l.statements.expire(func(id chicoryhall.EndpointID) bool { return l.entries[id] != nil }, now)
	if l.pacing != nil {
		l.pacing.limits.Keep(func(id chicoryhall.EndpointID) bool { return l.entries[id] != nil })
	}
	e := &listedEntry{listing: listing, gone: true, said: l.statements.of(listing.ID)}
	l.entries[listing.ID] = e
	return e
}

// remove applies the removal of an endpoint from the list.
func (l *ListedEndpoints) remove(id chicoryhall.EndpointID, now time.Time) {
	l.mu.Lock()
	e, known := l.entries[id]
	mayReturn := l.platformDown || now.Before(l.relistUntil)
	l.mu.Unlock()
	switch {
	case !known || e.gone:
	case mayReturn:
		l.change(id, "missing during an outage", func(e *listedEntry) { e.missingSince = now })
	default:
		l.change(id, "removed from the list", func(e *listedEntry) { e.gone = true })
	}
}

// Observe applies what this daemon's traffic showed of an endpoint.
func (l *ListedEndpoints) Observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	now := l.config.Timer.Now()
	if observed != chicoryhall.ObservedProgress {
		l.paceObserved(id, observed, now)
	} else {
		l.mu.Lock()
		e, known := l.entries[id]
		changesNothing := !known || !e.hasFailed()
		l.progressAt = now
		if known {
			e.lastProgress = now
		}
		if l.pacing != nil {
			l.pacing.limits.Progressed(id, now)
		}
		l.mu.Unlock()
		if changesNothing {
			return
		}
	}
	isFailure := false
	l.change(id, observed.String(), func(e *listedEntry) {
		e.observe(observed, now)
		isFailure = l.noteFailure(e, observed, now)
	})
	if isFailure {
		l.notifyFailure()
	}
}

// Begin counts one more request of this daemon at the endpoint.
func (l *ListedEndpoints) Begin(id chicoryhall.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, known := l.entries[id]; known {
		now := l.config.Timer.Now()
		e.begin(now)
		l.requestTimeOf(e.listing.Service).begin(now)
	}
}

// End counts one request less of this daemon at the endpoint.
func (l *ListedEndpoints) End(id chicoryhall.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.entries[id]
	if !known {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	l.requestTimeOf(e.listing.Service).end(l.config.Timer.Now())
	if e.gone && e.inFlight == 0 {
		delete(l.entries, id)
	}
}

// Subscribe registers a function that is called when a change of the list or an observation has changed an
// endpoint's state or listing. It is not called when a suspicion ends because its time is over, nor when Begin
// makes an endpoint suspect for a trial. The function must not block.
func (l *ListedEndpoints) Subscribe(changed func(id chicoryhall.EndpointID, state chicoryhall.EndpointState)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateSubscribers = append(l.stateSubscribers, changed)
}

// SubscribeList registers a function that is called when the endpoints of a service have changed. The function
// must not block.
func (l *ListedEndpoints) SubscribeList(changed func(chicoryhall.ServiceName)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listSubscribers = append(l.listSubscribers, changed)
}

// change applies an input to an entry. If the entry's state or listing has changed, it logs that with the
// cause and notifies the subscribers.
func (l *ListedEndpoints) change(id chicoryhall.EndpointID, cause string, apply func(*listedEntry)) {
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
	listChanged := listedBefore != listedAfter || !equalListings(before, after)
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
