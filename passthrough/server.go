package passthrough

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/tcp"
)

const (
	// readBuffer is the size of the read buffer in bytes.
	readBuffer = 16 << 10
	// maxReads is the number of times that one connection is read before others are.
	maxReads = 8
	// maxWriteBuffer bounds the bytes queued for a peer that reads too slowly.
	maxWriteBuffer = 8 << 20
	// idleCheckPeriod is the time between two checks for expired idle connections to endpoints.
	idleCheckPeriod = time.Second
	// The default limits for callers apply until rules are known, and where the rules state no limit.
	defaultMaxHead     = 16 << 10
	defaultMaxBody     = 4 << 20
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 15 * time.Second
)

// Server accepts callers' requests and forwards them to endpoints.
type Server struct {
	config Config
	loop   *tcp.Loop
	pool   *pool
	// account counts what callers make the process hold. maxCallers bounds their connections. fullUntil is until when no inactive
	// connection is sought, and shortLoggedAt when the lack of descriptors was last logged, in nanoseconds since the epoch.
	account       *memory.Account
	maxCallers    int
	fullUntil     atomic.Int64
	shortLoggedAt atomic.Int64
	// listening is closed once the server accepts connections.
	listening chan struct{}

	// draining is set when Drain is called: each connection is closed after its next answer.
	draining atomic.Bool
	// refusing is set readinessDelay later: new requests are refused. stopAt is when the requests in progress end, or nil if that is
	// not known.
	refusing atomic.Bool
	stopAt   atomic.Pointer[time.Time]
	// shuttingDown is set when Serve ends: connections are closed and failed requests are not retried.
	shuttingDown atomic.Bool

	mu          sync.Mutex
	connections map[*tcp.Conn]*connection
	exchanges   map[*callerExchange]struct{}
	random      *rand.Rand

	progress progressBoard
}

// NewServer returns a Server that starts to listen when Serve is called.
func NewServer(config Config) *Server {
	s := &Server{
		config:      config,
		account:     config.Account,
		maxCallers:  maxCallersOf(config.Descriptors),
		listening:   make(chan struct{}),
		connections: make(map[*tcp.Conn]*connection),
		exchanges:   make(map[*callerExchange]struct{}),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if s.account == nil {
		s.account = memory.NewUnlimitedAccount()
	}
	s.progress.base = config.Timer.Now()
	addresses := []string{config.Address}
	if config.PeerAddress != "" {
		addresses = append(addresses, config.PeerAddress)
	}
	s.loop = tcp.NewLoop(tcp.Config{
		Addresses: addresses, Listen: listen, Admit: s.admit, Accepted: s.accepted,
		ReadBuffer: readBuffer, MaxReads: maxReads, MaxQueued: maxWriteBuffer, MaxDescriptors: config.Descriptors,
	})
	s.pool = newPool(&s.config, s.loop, s.account)
	s.watchEndpoints()
	return s
}

// String returns the name under which the supervisor logs this service.
func (s *Server) String() string { return "passthrough" }

// Serve answers callers until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.loop.Start(); err != nil {
		return errors.WithMessagef(err, "listen for callers at %s", s.config.Address)
	}
	close(s.listening)
	s.config.Log.Log(event.CallersListening, "address", s.Address())
	ticks := s.config.Timer.Every(idleCheckPeriod, s.pool.idle.CloseExpired)
	defer ticks.Cancel()
	checks := s.config.Timer.Every(shedPeriod, s.checkHeld)
	defer checks.Cancel()
	<-ctx.Done()
	s.shuttingDown.Store(true)
	s.loop.Stop()
	s.pool.stop()
	return ctx.Err()
}

// UnsentBytes returns the number of bytes of answers that wait for callers that read too slowly.
func (s *Server) UnsentBytes() int64 { return s.loop.Queued() }

// Listening is closed once the server accepts connections.
func (s *Server) Listening() <-chan struct{} { return s.listening }

// Address returns where the server accepts callers, IP:PORT. If the configured port is 0, the port is the one that the
// system has chosen, once the server listens.
func (s *Server) Address() string { return s.loop.Address(0) }

// PeerAddress returns where the server accepts other daemons, as Address does, or "" if it accepts none.
func (s *Server) PeerAddress() string {
	if s.config.PeerAddress == "" {
		return ""
	}
	return s.loop.Address(1)
}

func (s *Server) addExchange(x *callerExchange) {
	s.mu.Lock()
	s.exchanges[x] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) removeExchange(x *callerExchange) {
	s.mu.Lock()
	delete(s.exchanges, x)
	s.mu.Unlock()
}

// randomFloat returns a random number in [0,1).
func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// limits returns the limits on a request's size, the timeout for its head and the idle timeout. The current
// rules or the defaults state them.
func (s *Server) limits() (http1.Limits, time.Duration, time.Duration) {
	limits := http1.Limits{Head: defaultMaxHead, Body: defaultMaxBody}
	headTimeout, idle := defaultHeadTimeout, defaultIdleTimeout
	if table, known := s.config.Rules.Table(); known {
		configured := table.RuleSet().Limits
		if configured.MaxHeadBytes > 0 {
			limits.Head = configured.MaxHeadBytes
		}
		if configured.MaxBodyBytes > 0 {
			limits.Body = configured.MaxBodyBytes
		}
		if configured.HeadTimeout > 0 {
			headTimeout = configured.HeadTimeout
		}
		if configured.IdleTimeout > 0 {
			idle = configured.IdleTimeout
		}
	}
	return limits, headTimeout, idle
}

// accepted returns the handler of a connection that was accepted.
func (s *Server) accepted(socket *tcp.Conn) tcp.Handler {
	conn := newConnection(s, socket)
	s.mu.Lock()
	s.connections[socket] = conn
	s.mu.Unlock()
	_, headTimeout, _ := s.limits()
	conn.post(func() { conn.setCloseTimeout(headTimeout) })
	return conn
}

// forgetConnection removes a connection to a caller that was closed.
func (s *Server) forgetConnection(socket *tcp.Conn) {
	s.mu.Lock()
	delete(s.connections, socket)
	s.mu.Unlock()
}

func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: controlListener, KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", address)
}

// ReadyHandler returns the handler of the platform's readiness checks; ready returns nil or the reason why the
// daemon is not ready.
func ReadyHandler(ready func() error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(err.Error() + "\n"))
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
