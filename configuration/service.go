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

// Config configures a Service. Table is nil when the documents come from files.
type Config struct {
	Self  chicoryhall.DaemonID
	Timer chicoryhall.Timer
	Table chicoryhall.Table
	Log   *event.Logger
	// Seed seeds the random choice of peers.
	Seed uint64
}

// Service implements chicoryhall.Documents. It keeps the documents of all services in agreement with the table and the
// peers.
type Service struct {
	config Config
	table  chicoryhall.Table

	mu          sync.Mutex
	state       *State
	spread      *Spread
	current     map[chicoryhall.ServiceName]chicoryhall.DocumentVersion
	subscribers []func(chicoryhall.DocumentVersion)
	peers       chicoryhall.Peers
	members     chicoryhall.Members
	// tableErr and peersErr are why the table and the peers could not be read, for Ready.
	tableErr error
	peersErr error
	ready    bool

	tasks chan func(ctx context.Context)
}

// New returns a Service without documents.
func New(config Config) *Service {
	return &Service{
		config: config, table: config.Table,
		state:    NewState(),
		spread:   NewSpread(rand.NewPCG(config.Seed, uint64(len(config.Self)))),
		current:  map[chicoryhall.ServiceName]chicoryhall.DocumentVersion{},
		tableErr: errNotReadYet, peersErr: errNotReadYet,
		tasks: make(chan func(context.Context), queueSize),
	}
}

// Current returns the current version of one service.
func (s *Service) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.current[service]
	return current, known
}

// All returns the current versions of all services, ordered by name.
func (s *Service) All() []chicoryhall.DocumentVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []chicoryhall.DocumentVersion
	for _, v := range s.state.Versions() {
		all = append(all, s.current[v.Service])
	}
	return all
}

// Subscribe registers changed to be called with each version that becomes current from now on.
func (s *Service) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
}

// Version returns the newest version of a service, including its text.
func (s *Service) Version(service chicoryhall.ServiceName) (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Version(service)
}

// Versions returns the newest versions of all services.
func (s *Service) Versions() []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Versions()
}

// Ready returns nil once documents were read from the table or a peer, and an UnreadyError before.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		return nil
	}
	return &UnreadyError{Table: s.tableErr, Peers: s.peersErr}
}

// Preload applies versions that were read from files; the daemon is then ready.
func (s *Service) Preload(versions []Version) {
	for _, v := range versions {
		s.apply(v, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// apply makes a version from any source the current one if it is valid and newer, notifies the subscribers and sends
// rumours of it. It reports whether it did.
func (s *Service) apply(v Version, from chicoryhall.DaemonID) bool {
	if DigestOf(v.Text) != v.Digest {
		s.config.Log.Log(event.DocumentDamaged, "service", v.Service, "version", v.Number, "peer", from)
		return false
	}
	d, err := document.Parse(string(v.Service), []byte(v.Text))
	if err != nil || d.Service != v.Service {
		s.config.Log.Log(event.DocumentRefused, "service", v.Service, "version", v.Number, "peer", from, "error", err)
		return false
	}
	current := chicoryhall.DocumentVersion{Document: d, Version: v.Number, Digest: v.Digest}
	subscribers, isNew := s.accept(v, current)
	if !isNew {
		return false
	}
	s.config.Log.Log(event.DocumentInForce, "service", v.Service, "version", v.Number, "digest", v.Digest, "peer", from)
	for _, changed := range subscribers {
		changed(current)
	}
	s.sendRumours(v.Mark(), from)
	return true
}

func (s *Service) accept(v Version, current chicoryhall.DocumentVersion) ([]func(chicoryhall.DocumentVersion), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Accept(v) {
		return nil, false
	}
	s.current[v.Service] = current
	return s.subscribers, true
}

// Serve compares versions with peers and polls the table until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	compare := s.config.Timer.Every(comparePeriod, func(time.Time) { s.enqueue(s.comparePeer) })
	defer compare.Cancel()
	if s.table != nil {
		s.enqueue(s.poll)
		poll := s.config.Timer.Every(pollPeriod, func(time.Time) { s.enqueue(s.poll) })
		defer poll.Cancel()
	}
	var group errgroup.Group
	for range workers {
		group.Go(func() error { return s.runTasks(ctx) })
	}
	return group.Wait()
}

// workers is the number of queued tasks that run at once.
const workers = 8

func (s *Service) runTasks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case task := <-s.tasks:
			task(ctx)
		}
	}
}

// enqueue queues a task, or drops it when the queue is full; a later comparison makes up for it.
func (s *Service) enqueue(task func(ctx context.Context)) {
	select {
	case s.tasks <- task:
	default:
	}
}
