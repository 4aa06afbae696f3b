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
	// tickPeriod is the time between two checks for due polls.
	tickPeriod = 100 * time.Millisecond
	// loadingPollPeriod is the time between two polls of a loading endpoint by each of its watchers.
	loadingPollPeriod = 250 * time.Millisecond
	// assignPeriod is the least time between two assignments of polls after membership changes.
	assignPeriod = time.Second
	// firstWatcherPollPeriod is the time between two polls of an endpoint by its first watcher, otherPollPeriod
	// that by any other daemon that polls it.
	firstWatcherPollPeriod = time.Second
	otherPollPeriod        = 3 * time.Second
	// staleAge is the age of an endpoint's load above which peers are asked for a newer one.
	staleAge = 15 * time.Second
	// maxUnknownWanted bounds how many endpoints of which nothing is known one message asks for,
	// maxStaleWanted how many with a stale load.
	maxUnknownWanted = 256
	maxStaleWanted   = 12
	// maxExtraPolls bounds the polls per tick of endpoints that this daemon doesn't poll regularly; see
	// entry.needsExtraPoll. There are many of them after a start or a new document.
	maxExtraPolls = 10
	// urgentPollDelay is the time to the next poll after the daemon's traffic showed a failure.
	urgentPollDelay = 200 * time.Millisecond
)

// LoadFetcher fetches load reports.
type LoadFetcher interface {
	// Load fetches the report of the endpoint at an address and calls done on any goroutine, at most once. If
	// observed is not ObservedProgress, there is no report, and observed says how the endpoint failed.
	Load(address string, done func(load chicoryhall.LoadReport, observed chicoryhall.Observation))
}

// Config configures a Watch.
type Config struct {
	Timer     chicoryhall.Timer
	Documents chicoryhall.Documents
	Members   chicoryhall.Members
	Loads     LoadFetcher
}

// Watch is a chicoryhall.Endpoints that polls its share of the endpoints while Serve runs and learns of the
// others from peers through Gossip.
type Watch struct {
	timer     chicoryhall.Timer
	documents chicoryhall.Documents
	members   chicoryhall.Members
	loads     LoadFetcher

	// membersChanged is set if the members have changed since the last assignment of polls.
	membersChanged atomic.Bool
	lastAssignment time.Time

	mu      sync.Mutex
	entries map[chicoryhall.EndpointID]*entry
	// byHash maps the hashes in sightings to endpoints. A hash that several endpoints share maps to the
	// empty ID; each daemon polls those endpoints itself.
	byHash map[EndpointHash]chicoryhall.EndpointID
	// wantedCalls counts the calls of Wanted, so that each asks for other endpoints.
	wantedCalls int
	updates     *updateQueue
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
		updates:   newUpdateQueue(),
	}
	config.Documents.Subscribe(func(chicoryhall.DocumentVersion) { w.assignPolls() })
	config.Members.Subscribe(func(chicoryhall.Member) { w.membersChanged.Store(true) })
	return w
}

// Serve polls endpoints until ctx ends.
func (w *Watch) Serve(ctx context.Context) error {
	w.assignPolls()
	polls := w.timer.Every(tickPeriod, w.pollDue)
	defer polls.Cancel()
	<-ctx.Done()
	return ctx.Err()
}

// String returns the name under which the supervisor logs this service.
func (w *Watch) String() string { return "watch" }

// View returns the state and load of an endpoint. An unknown one counts as loading, like one without a report.
// Load is the endpoint's last report, so Load.Running counts the requests of all daemons. If the report came from
// another daemon, it gives KVUsed as a percentage, with a KVCapacity of 100.
func (w *Watch) View(id chicoryhall.EndpointID) chicoryhall.EndpointView {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[id]
	if !ok {
		return chicoryhall.EndpointView{State: chicoryhall.EndpointLoading}
	}
	return chicoryhall.EndpointView{State: e.state(), Load: e.load, InFlight: e.inFlight}
}

// Observe applies what this daemon's traffic showed of an endpoint and brings its next poll forward after
// a failure.
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

// Begin counts one more request of this daemon at the endpoint.
func (w *Watch) Begin(id chicoryhall.EndpointID) {
	w.change(id, func(e *entry) { e.inFlight++ })
}

// End counts one request less of this daemon at the endpoint.
func (w *Watch) End(id chicoryhall.EndpointID) {
	w.change(id, func(e *entry) { e.inFlight = max(0, e.inFlight-1) })
}

// Subscribe registers a function that is called when an endpoint's state has changed. The function must not
// block.
func (w *Watch) Subscribe(changed func(id chicoryhall.EndpointID, state chicoryhall.EndpointState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers = append(w.subscribers, changed)
}

// MarkLeaving marks an endpoint as leaving according to a list of VMs made at asOf. It ignores a list that was
// made before the endpoint's current incarnation was first seen, as the list may refer to an earlier
// incarnation.
func (w *Watch) MarkLeaving(id chicoryhall.EndpointID, asOf time.Time) {
	w.mu.Lock()
	e, ok := w.entries[id]
	applies := ok && !e.leaving && asOf.After(e.incarnationSeenAt)
	w.mu.Unlock()
	if applies {
		w.change(id, func(e *entry) { e.leaving = true })
	}
}

// change applies an input to an entry, queues an update for peers if needed and notifies the subscribers of
// a new state.
func (w *Watch) change(id chicoryhall.EndpointID, apply func(*entry)) {
	now := w.timer.Now()
	w.mu.Lock()
	e := w.entry(id)
	before := e.state()
	apply(e)
	after := e.state()
	if queue, urgent := e.prepareUpdate(now); queue {
		w.updates.add(id, urgent)
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
		e = &entry{spec: chicoryhall.DocumentEndpoint{ID: id}}
		w.entries[id] = e
	}
	return e
}

// assignPolls takes over the endpoints of the current documents, determines which of them this daemon polls, and
// rebuilds byHash. An endpoint that is in no document any more keeps its entry and is polled as before.
func (w *Watch) assignPolls() {
	members := append(w.members.Others(), w.members.Self())
	all := w.documents.All()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.daemons = len(members)
	w.byHash = map[EndpointHash]chicoryhall.EndpointID{}
	for _, current := range all {
		for _, endpoint := range current.Document.Endpoints {
			e := w.entry(endpoint.ID)
			e.spec = endpoint
			e.documentLayers = documentLayers(current.Document, endpoint)
			e.polled = w.isWatcher(endpoint, members)
			w.index(endpoint.ID)
		}
	}
}

func (w *Watch) isWatcher(endpoint chicoryhall.DocumentEndpoint, members []chicoryhall.Member) bool {
	return slices.Contains(Watchers(endpoint.ID, endpoint.FailureDomain, members), w.members.Self().ID)
}

// index adds an endpoint to byHash. If another one has the same hash, this daemon polls both itself.
func (w *Watch) index(id chicoryhall.EndpointID) {
	hash := hashOf(id)
	if other, taken := w.byHash[hash]; taken && other != id {
		w.byHash[hash] = ""
		w.entry(id).polled = true
		if other != "" {
			w.entry(other).polled = true
		}
		return
	}
	w.byHash[hash] = id
}

// documentLayers returns the layers that an endpoint has loaded once it matches its document; a plain service
// has none.
func documentLayers(document *chicoryhall.Document, endpoint chicoryhall.DocumentEndpoint) []chicoryhall.LayerRange {
	if document.Kind != chicoryhall.ServicePipeline {
		return nil
	}
	return []chicoryhall.LayerRange{{
		Model: document.Model.Name, Version: document.Model.Version, From: endpoint.From, To: endpoint.To,
	}}
}

// pollDue polls the endpoints whose next poll is due.
func (w *Watch) pollDue(now time.Time) {
	if now.Sub(w.lastAssignment) >= assignPeriod && w.membersChanged.Swap(false) {
		w.lastAssignment = now
		w.assignPolls()
	}
	members := append(w.members.Others(), w.members.Self())
	self := w.members.Self().ID
	w.mu.Lock()
	var due []chicoryhall.DocumentEndpoint
	extraPolls := 0
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		e := w.entries[id]
		if e.spec.Address == "" || now.Before(e.nextPoll) {
			continue
		}
		if !e.polled {
			if !e.needsExtraPoll() || extraPolls >= maxExtraPolls {
				continue
			}
			extraPolls++
		}
		e.nextPoll = now.Add(otherPollPeriod)
		if watchers := Watchers(id, e.spec.FailureDomain, members); len(watchers) > 0 && watchers[0] == self {
			e.nextPoll = now.Add(firstWatcherPollPeriod)
		}
		if e.polled && e.state() == chicoryhall.EndpointLoading {
			e.nextPoll = now.Add(loadingPollPeriod)
		}
		due = append(due, e.spec)
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
		case load.Endpoint == endpoint.ID: // Otherwise another endpoint uses the address now.
			w.change(endpoint.ID, func(e *entry) { e.applyReport(load, now) })
		}
	})
}

// SightingsFor returns the sightings to send to a peer: queued updates and the endpoints that it asked for.
func (w *Watch) SightingsFor(wanted []EndpointHash) []Sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sightings []Sighting
	for _, id := range w.updates.next(w.daemons) {
		sightings = append(sightings, w.entries[id].sighting())
	}
	for _, hash := range wanted {
		if e, ok := w.entries[w.byHash[hash]]; ok && e.reported {
			sightings = append(sightings, e.sighting())
		}
	}
	return sightings
}

// HasUrgent reports whether an urgent update is queued.
func (w *Watch) HasUrgent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates.hasUrgent()
}

// Wanted returns endpoints to ask a peer for: those of which nothing is known and those with a stale load.
func (w *Watch) Wanted() []EndpointHash {
	now := w.timer.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var unknown, stale []EndpointHash
	for hash, id := range w.byHash {
		e, ok := w.entries[id]
		switch {
		case !ok || e.polled:
		case !e.reported:
			unknown = append(unknown, hash)
		case now.Sub(e.updatedAt) > staleAge:
			stale = append(stale, hash)
		}
	}
	w.wantedCalls++
	return append(rotate(unknown, w.wantedCalls, maxUnknownWanted), rotate(stale, w.wantedCalls, maxStaleWanted)...)
}

// rotate returns the hashes for call number call: all of them if there are at most count, otherwise count of them.
// Each call starts where the previous one ended in the ascending order of the hashes and goes on with the smallest
// after the greatest, so that endpoints unknown to all peers do not keep the others from being asked for.
func rotate(hashes []EndpointHash, call, count int) []EndpointHash {
	if len(hashes) <= count {
		return hashes
	}
	slices.Sort(hashes)
	first := call * count % len(hashes)
	return append(slices.Clone(hashes[first:]), hashes[:first]...)[:count]
}

// Merge applies sightings received from a peer.
func (w *Watch) Merge(sightings []Sighting) {
	now := w.timer.Now()
	for i := range sightings {
		w.mu.Lock()
		id := w.byHash[sightings[i].Endpoint]
		w.mu.Unlock()
		if id != "" {
			w.change(id, func(e *entry) { e.applySighting(&sightings[i], now) })
		}
	}
}
