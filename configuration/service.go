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

// The times and bounds of a Service.
const (
	comparePeriod = time.Second
	pollPeriod    = 10 * time.Second
	peerTimeout   = time.Second
	tableTimeout  = 5 * time.Second
	maxQueue      = 1024
)

// Config is what a Service needs; Table is nil when the documents come from files.
type Config struct {
	Self  chicoryhall.DaemonID
	Timer chicoryhall.Timer
	Table chicoryhall.Table
	Log   *event.Logger
	// Seed seeds the choice of peers.
	Seed uint64
}

// Service is a chicoryhall.Documents that agrees with the table and the peers.
type Service struct {
	config Config
	table  chicoryhall.Table

	mu          sync.Mutex
	state       *State
	spread      *Spread
	parsed      map[chicoryhall.ServiceName]chicoryhall.DocumentVersion
	subscribers []func(chicoryhall.DocumentVersion)
	peers       chicoryhall.Peers
	members     chicoryhall.Members
	// tableErr and peersErr tell why no source was read yet.
	tableErr error
	peersErr error
	ready    bool

	work chan func(ctx context.Context)
}

// New returns a Service that knows no documents.
func New(config Config) *Service {
	return &Service{
		config: config, table: config.Table,
		state:    NewState(),
		spread:   NewSpread(rand.NewPCG(config.Seed, uint64(len(config.Self)))),
		parsed:   map[chicoryhall.ServiceName]chicoryhall.DocumentVersion{},
		tableErr: errNotAsked, peersErr: errNotAsked,
		work: make(chan func(context.Context), maxQueue),
	}
}

// Current returns the version in force of one service.
func (s *Service) Current(service chicoryhall.ServiceName) (chicoryhall.DocumentVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inForce, known := s.parsed[service]
	return inForce, known
}

// All returns every service's version in force, ordered by name.
func (s *Service) All() []chicoryhall.DocumentVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []chicoryhall.DocumentVersion
	for _, v := range s.state.Versions() {
		all = append(all, s.parsed[v.Service])
	}
	return all
}

// Subscribe calls changed for each version that comes into force from now on.
func (s *Service) Subscribe(changed func(chicoryhall.DocumentVersion)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, changed)
}

// Version returns the newest version of a service with its text.
func (s *Service) Version(service chicoryhall.ServiceName) (Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Version(service)
}

// Versions returns all services' newest versions.
func (s *Service) Versions() []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Versions()
}

// Ready returns nil once the table or a peer was read, or else an UnreadyError.
func (s *Service) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		return nil
	}
	return &UnreadyError{Table: s.tableErr, Peers: s.peersErr}
}

// Preload puts versions into force that come from files; the daemon is then ready.
func (s *Service) Preload(versions []Version) {
	for _, v := range versions {
		s.learn(v, "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = true
}

// learn takes a version from any source, puts it into force and passes it on if it is new.
func (s *Service) learn(v Version, from chicoryhall.DaemonID) bool {
	if DigestOf(v.Text) != v.Digest {
		s.config.Log.Log(event.DocumentDamaged, "service", v.Service, "version", v.Number, "peer", from)
		return false
	}
	d, err := document.Parse(string(v.Service), []byte(v.Text))
	if err != nil || d.Service != v.Service {
		s.config.Log.Log(event.DocumentRefused, "service", v.Service, "version", v.Number, "peer", from, "error", err)
		return false
	}
	inForce := chicoryhall.DocumentVersion{Document: d, Version: v.Number, Digest: v.Digest}
	subscribers, isNew := s.accept(v, inForce)
	if !isNew {
		return false
	}
	s.config.Log.Log(event.DocumentInForce, "service", v.Service, "version", v.Number, "digest", v.Digest, "peer", from)
	for _, changed := range subscribers {
		changed(inForce)
	}
	s.tell(v.Mark(), from)
	return true
}

func (s *Service) accept(v Version, inForce chicoryhall.DocumentVersion) ([]func(chicoryhall.DocumentVersion), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Accept(v) {
		return nil, false
	}
	s.parsed[v.Service] = inForce
	return s.subscribers, true
}

// Serve compares with peers and polls the table until ctx ends.
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
		group.Go(func() error { return s.runWork(ctx) })
	}
	return group.Wait()
}

// workers is how many calls to peers and the table run at once.
const workers = 8

func (s *Service) runWork(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case work := <-s.work:
			work(ctx)
		}
	}
}

// enqueue drops the work when the queue is full: comparing makes up for it.
func (s *Service) enqueue(work func(ctx context.Context)) {
	select {
	case s.work <- work:
	default:
	}
}
