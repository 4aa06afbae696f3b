package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/event"
)

const (
	// comparePeriod is the time between two comparisons with a random peer.
	comparePeriod = time.Second
	// pollPeriod is the time between two reads of the table.
	pollPeriod = 10 * time.Second
	// peerTimeout bounds one call to a peer.
	peerTimeout = time.Second
	// tableTimeout bounds the calls to the table of one poll or one publication.
	tableTimeout = 5 * time.Second
	// queueSize is the capacity of the task queue.
	queueSize = 1024
)

// Config configures Documents. Table is nil when the documents come from files.
type Config struct {
	Self  chicoryhall.DaemonID
	Timer chicoryhall.Timer
	Table chicoryhall.Table
	Log   *event.Logger
	// Seed seeds the random choice of peers.
	Seed uint64
}

// Documents implements chicoryhall.Documents. It keeps the documents of all services in agreement with the table and the
// peers.
type Documents struct {
	config Config
	table  chicoryhall.Table

	mu          sync.Mutex
	state       *State
	selector    *PeerSelector
	current     map[chicoryhall.ServiceName]chicoryhall.DocumentVersion
	subscribers []func(chicoryhall.DocumentVersion)
	peers       chicoryhall.Peers
	members     chicoryhall.Members
	// tableErr and peersErr are the last errors of reading from the table and from peers; Ready reports them.
	tableErr error
	peersErr error
	ready    bool

	tasks chan func(ctx context.Context)
}

// New returns Documents that hold no document yet.
func New(config Config) *Documents {
	return &Documents{
		config: config, table: config.Table,
		state: NewState(),
		// A PCG needs two seeds; the second may have any value.
		selector: NewPeerSelector(rand.NewPCG(config.Seed, uint64(len(config.Self)))),
		current:  map[chicoryhall.ServiceName]chicoryhall.DocumentVersion{},
		tableErr: errNotReadYet, peersErr: errNotReadYet,
		tasks: make(chan func(context.Context), queueSize),
	}
}

// Current returns the current version of one service.
func (d *Documents) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, known := d.current[service]
	return current, known
}

// All returns the current versions of all services, ordered by name.
func (d *Documents) All() []chicoryhall.DocumentVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []chicoryhall.DocumentVersion
	for _, v := range d.state.Versions() {
		all = append(all, d.current[v.Service])
	}
	return all
}

// Subscribe registers changed to be called with each version that becomes current from now on.
func (d *Documents) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, changed)
}

// Version returns the current version of a service, including its text.
func (d *Documents) Version(service chicoryhall.ServiceName) (Version, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Version(service)
}

// Versions returns the current versions of all services, including their texts.
func (d *Documents) Versions() []Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Versions()
}

// Ready returns nil once the documents are known: after Preload, after a poll of the table that found no newer version
// than this daemon has, or after a poll or a comparison with a peer when this daemon has at least one document. Before,
// it returns a NotReadyError.
func (d *Documents) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ready {
		return nil
	}
	return &NotReadyError{Table: d.tableErr, Peers: d.peersErr}
}

// Preload applies versions that were read from files; the daemon is then ready.
func (d *Documents) Preload(versions []Version) {
	for _, v := range versions {
		d.apply(v, "")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = true
}

// apply checks a version from any source. If it is valid and newer than the current version, it becomes current, the
// subscribers are notified, rumours of it are sent, and apply returns true.
func (d *Documents) apply(v Version, from chicoryhall.DaemonID) bool {
	if DigestOf(v.Text) != v.Digest {
		d.config.Log.Log(event.DocumentDamaged, "service", v.Service, "version", v.Number, "peer", from)
		return false
	}
	parsed, err := document.Parse(string(v.Service), []byte(v.Text))
	if err != nil || parsed.Service != v.Service { // In the second case err is nil, and the event has no reason.
		d.config.Log.Log(event.DocumentRefused, "service", v.Service, "version", v.Number, "peer", from, "error", err)
		return false
	}
	current := chicoryhall.DocumentVersion{Document: parsed, Version: v.Number, Digest: v.Digest}
	subscribers, isNew := d.update(v, current)
	if !isNew {
		return false
	}
	d.config.Log.Log(event.DocumentInForce, "service", v.Service, "version", v.Number, "digest", v.Digest, "peer", from)
	for _, changed := range subscribers {
		changed(current)
	}
	d.sendRumours(v.Ref(), from)
	return true
}

func (d *Documents) update(v Version, current chicoryhall.DocumentVersion) ([]func(chicoryhall.DocumentVersion), bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.state.Update(v) {
		return nil, false
	}
	d.current[v.Service] = current
	return d.subscribers, true
}

// Serve compares versions with peers and polls the table until ctx ends.
func (d *Documents) Serve(ctx context.Context) error {
	compare := d.config.Timer.Every(comparePeriod, func(time.Time) { d.enqueue(d.comparePeer) })
	defer compare.Cancel()
	if d.table != nil {
		d.enqueue(d.poll)
		poll := d.config.Timer.Every(pollPeriod, func(time.Time) { d.enqueue(d.poll) })
		defer poll.Cancel()
	}
	var group errgroup.Group
	for range workers {
		group.Go(func() error { return d.runTasks(ctx) })
	}
	return group.Wait()
}

// workers is the number of queued tasks that run at once.
const workers = 8

func (d *Documents) runTasks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case task := <-d.tasks:
			task(ctx)
		}
	}
}

// enqueue queues a task, or drops it if the queue is full; a later comparison or poll makes up for it.
func (d *Documents) enqueue(task func(ctx context.Context)) {
	select {
	case d.tasks <- task:
	default:
	}
}
