package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicoryhall.example/chicoryhall"
)

const (
	// tickPeriod is how often due polls are begun.
	tickPeriod = 100 * time.Millisecond
	// loadingPollPeriod is the time between two polls of an endpoint that loads layers, by its watchers.
	loadingPollPeriod = 250 * time.Millisecond
	// assignPeriod is the least time between two assignments after changes of members.
	assignPeriod = time.Second
	// firstPollPeriod and laterPollPeriod are the times between two polls of an endpoint by its
	// first and its other watchers.
	firstPollPeriod = time.Second
	laterPollPeriod = 3 * time.Second
	// staleTime is the age of what is known at which a peer is asked.
	staleTime = 15 * time.Second
	// maxUnknownWanted and maxStaleWanted bound what one message asks for.
	maxUnknownWanted = 256
	maxStaleWanted   = 12
	// maxUnknownPolls bounds the polls of one tick at endpoints that others watch: those that no peer
	// has told of yet, as after a start or a new document, and those that failed this daemon alone.
	maxUnknownPolls = 10
	// urgentPollDelay is the least time between two polls after the daemon's traffic showed a failure.
	urgentPollDelay = 200 * time.Millisecond
)

// Loads fetches load reports.
type Loads interface {
	// Load asks the endpoint at an address and calls done once, on any goroutine; observed tells
	// what a failure shows of the endpoint.
	Load(address string, done func(load chicoryhall.LoadReport, observed chicoryhall.Observation))
}

// Config is what a Watch needs.
type Config struct {
	Timer     chicoryhall.Timer
	Documents chicoryhall.Documents
	Members   chicoryhall.Members
	Loads     Loads
}

// Watch keeps the view current while Serve runs.
type Watch struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	members   chicoryhall.Members
	loads     Loads

	// moved tells that the members have changed since the last assignment.
	moved      atomic.Bool
	lastAssign time.Time

	mu      sync.Mutex
	entries map[chicoryhall.EndpointID]*entry
	// byHash finds endpoints; two that share a hash are left out and polled by every daemon.
	byHash map[EndpointHash]chicoryhall.EndpointID
	// wantedTurn counts the calls of Wanted.
	wantedTurn  int
	spread      *spread
	daemons     int
	subscribers []func(chicoryhall.EndpointID, chicoryhall.EndpointState)
}

// New returns a Watch that knows no endpoint yet.
func New(config Config) *Watch {
	w := &Watch{
		timer:     config.Timer,
		documents: config.Documents,
		members:   config.Members,
		loads:     config.Loads,
		entries:   map[chicoryhall.EndpointID]*entry{},
		byHash:    map[EndpointHash]chicoryhall.EndpointID{},
		spread:    newSpread(),
	}
	config.Documents.Subscribe(func(chicoryhall.DocumentVersion) { w.assign() })
	config.Members.Subscribe(func(chicoryhall.Member) { w.moved.Store(true) })
	return w
}

// Serve polls the endpoints that this daemon watches until ctx ends.
func (w *Watch) Serve(ctx context.Context) error {
	w.assign()
	polls := w.timer.Every(tickPeriod, w.pollDue)
	defer polls.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// String names the part in the supervisor's reports.
func (w *Watch) String() string { return "watch" }

// View returns what is believed of one endpoint.
func (w *Watch) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[id]
	if !ok {
		return chicoryhall.EndpointView{State: chicoryhall.EndpointLoading}
	}
	return chicoryhall.EndpointView{State: e.state(), Load: e.load, InFlight: e.inFlight}
}

// Observe reports what this daemon's traffic showed.
func (w *Watch) Observe(id chicoryhall.EndpointID, observed chicoryhall.Observation) {
	now := w.timer.Now()
	w.change(id, func(e *entry) {
		e.observe(observed, now)
		if observed != chicoryhall.ObservedProgress {
			e.nextPoll = earlier(e.nextPoll, now.Add(urgentPollDelay))
		}
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Begin counts one more piece of work at the endpoint.
func (w *Watch) Begin(id chicoryhall.EndpointID) {
	w.change(id, func(e *entry) { e.inFlight++ })
}

// End counts one piece of work less at the endpoint.
func (w *Watch) End(id chicoryhall.EndpointID) {
	w.change(id, func(e *entry) { e.inFlight = max(0, e.inFlight-1) })
}

// Subscribe calls changed when an endpoint's state changes; it must not block.
func (w *Watch) Subscribe(changed func(id chicoryhall.EndpointID, state chicoryhall.EndpointState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, changed)
}

// Leaving takes word of the platform's list, as of a time, that an endpoint's VM leaves.
func (w *Watch) Leaving(id chicoryhall.EndpointID, asOf time.Time) {
	w.mu.Lock()
	e, ok := w.entries[id]
	isNew := ok && !e.leaving && asOf.After(e.startSeen)
	w.mu.Unlock()
	if isNew { // An older list may mean an earlier run of the endpoint.
		w.change(id, func(e *entry) { e.leaving = true })
	}
}

// change applies one input to an entry, notes news for peers and tells the subscribers of a new state.
func (w *Watch) change(id chicoryhall.EndpointID, apply func(*entry)) {
	now := w.timer.Now()
	w.mu.Lock()
	e := w.entry(id)
	before := e.state()
	apply(e)
	after := e.state()
	if isNews, urgent := e.news(now); isNews {
		w.spread.put(id, urgent)
	}
	subscribers := w.subscribers
	w.mu.Unlock()
	if before == after {
		return
	}
	for _, changed := range subscribers {
		changed(id, after)
	}
}

func (w *Watch) entry(id chicoryhall.EndpointID) *entry {
	e, ok := w.entries[id]
	if !ok {
		e = &entry{wanted: chicoryhall.DocumentEndpoint{ID: id}}
		w.entries[id] = e
	}
	return e
}

// assign decides anew which endpoints this daemon watches.
func (w *Watch) assign() {
	members := append(w.members.All(), w.members.Self())
	all := w.documents.All()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = len(members)
	w.byHash = map[EndpointHash]chicoryhall.EndpointID{}
	for _, inForce := range all {
		for _, endpoint := range inForce.Document.Endpoints {
			e := w.entry(endpoint.ID)
			e.wanted = endpoint
			e.holdings = wantedHoldings(inForce.Document, endpoint)
			e.watched = w.isWatcher(endpoint, members)
			w.index(endpoint.ID)
		}
	}
}

func (w *Watch) isWatcher(endpoint chicoryhall.DocumentEndpoint, members []chicoryhall.Member) bool {
	return slices.Contains(Watchers(endpoint.ID, endpoint.FailureDomain, members), w.members.Self().ID)
}

// index makes an endpoint known by its hash unless another one has the same.
func (w *Watch) index(id chicoryhall.EndpointID) {
	hash := hashOf(id)
	if other, taken := w.byHash[hash]; taken && other != id {
		w.byHash[hash] = ""
		w.entry(id).watched = true
		if other != "" {
			w.entry(other).watched = true
		}
		return
	}
	w.byHash[hash] = id
}

// wantedHoldings returns what an endpoint reports once it holds what the document wants.
func wantedHoldings(document *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint) []chicoryhall.LayerRange {
	if document.Kind != chicoryhall.ServicePipeline {
		return nil
	}
	return []chicoryhall.LayerRange{{
		Model: document.Model.Name, Version: document.Model.Version, From: endpoint.From, To: endpoint.To,
	}}
}

// pollDue asks the watched endpoints whose time has come.
func (w *Watch) pollDue(now time.Time) {
	if now.Sub(w.lastAssign) >= assignPeriod && w.moved.Swap(false) {
		w.lastAssign = now
		w.assign()
	}
	members := append(w.members.All(), w.members.Self())
	self := w.members.Self().ID
	w.mu.Lock()
	var due []chicoryhall.DocumentEndpoint
	unknown := 0
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		e := w.entries[id]
		if e.wanted.Address == "" || now.Before(e.nextPoll) {
			continue
		}
		if !e.watched {
			if !e.mustAsk() || unknown >= maxUnknownPolls {
				continue
			}
			unknown++
		}
		e.nextPoll = now.Add(laterPollPeriod)
		if watchers := Watchers(id, e.wanted.FailureDomain, members); len(watchers) > 0 && watchers[0] == self {
			e.nextPoll = now.Add(firstPollPeriod)
		}
		if e.watched && e.state() == chicoryhall.EndpointLoading {
			e.nextPoll = now.Add(loadingPollPeriod)
		}
		due = append(due, e.wanted)
	}
	w.mu.Unlock()
	for _, endpoint := range due {
		w.pollOne(endpoint)
	}
}

func (w *Watch) pollOne(endpoint chicoryhall.DocumentEndpoint) {
	w.loads.Load(endpoint.Address, func(load chicoryhall.LoadReport, observed chicoryhall.Observation) {
		now := w.timer.Now()
		switch {
		case observed != chicoryhall.ObservedProgress:
			w.change(endpoint.ID, func(e *entry) { e.observe(observed, now) })
		case load.Endpoint == endpoint.ID: // Else another endpoint has taken over the address.
			w.change(endpoint.ID, func(e *entry) { e.report(load, now) })
		}
	})
}

// Answer returns the sightings to tell a peer: news, and what it wants to know.
func (w *Watch) Answer(wanted []EndpointHash) []Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sightings []Sighting
	for _, id := range w.spread.take(w.daemons) {
		sightings = append(sightings, w.entries[id].sighting())
	}
	for _, hash := range wanted {
		if e, ok := w.entries[w.byHash[hash]]; ok && e.reported {
			sightings = append(sightings, e.sighting())
		}
	}
	return sightings
}

// HasUrgent tells whether peers have to hear of a change of state soon.
func (w *Watch) HasUrgent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.spread.hasUrgent()
}

// Wanted returns endpoints of which this daemon knows nothing or nothing new.
func (w *Watch) Wanted() []EndpointHash {
	now := w.timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var unknown, stale []EndpointHash
	for hash, id := range w.byHash {
		e, ok := w.entries[id]
		switch {
		case !ok || e.watched:
		case !e.reported:
			unknown = append(unknown, hash)
		case now.Sub(e.heardAt) > staleTime:
			stale = append(stale, hash)
		}
	}
	w.wantedTurn++
	return append(turn(unknown, w.wantedTurn, maxUnknownWanted), turn(stale, w.wantedTurn, maxStaleWanted)...)
}

// turn returns up to count of the hashes in their order, from another place each time, so that
// those of which no peer knows anything do not keep the others back.
func turn(hashes []EndpointHash, turns, count int) []EndpointHash {
	if len(hashes) <= count {
		return hashes
	}
	slices.Sort(hashes)
	first := turns * count % len(hashes)
	return append(slices.Clone(hashes[first:]), hashes[:first]...)[:count]
}

// Hear takes what a peer told of endpoints.
func (w *Watch) Hear(sightings []Sighting) {
	now := w.timer.Now()
	for i := range sightings {
		w.mu.Lock()
		id := w.byHash[sightings[i].Endpoint]
		w.mu.Unlock()
		if id != "" {
			w.change(id, func(e *entry) { e.hear(&sightings[i], now) })
		}
	}
}
