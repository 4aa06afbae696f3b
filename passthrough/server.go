package passthrough

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
)

const (
	// maxConnections bounds the descriptors of the event loop.
	maxConnections = 8192
	// readBuffer is the size of one read in bytes.
	readBuffer = 16 << 10
	// maxUnsent bounds the bytes that wait for a peer that does not read.
	maxUnsent = 8 << 20
	// idlePeriod lies between two looks at idle connections to endpoints.
	idlePeriod = time.Second
	// rotationTime is how long the platform may go on sending new connections to a daemon that
	// says that it is not ready.
	rotationTime = 2500 * time.Millisecond
	// drainPeriod lies between two looks at whether a stop may end.
	drainPeriod = 20 * time.Millisecond
	// defaultHead, defaultBody, defaultHeadTimeout and defaultIdle hold before rules are known.
	defaultHead        = 16 << 10
	defaultBody        = 4 << 20
	defaultHeadTimeout = 3 * time.Second
	defaultIdle        = 15 * time.Second
)

// Server takes callers' requests and passes them through.
type Server struct {
	parts Parts
	loop  *nbio.Engine
	pool  *pool

	stopping atomic.Bool
	// stopped tells that no request is taken any more.
	stopped atomic.Bool
	// ending tells that connections are being closed at the end of the process.
	ending atomic.Bool
	// buffer is where the event loop reads; it has one goroutine.
	buffer []byte

	mu          sync.Mutex
	connections map[*nbio.Conn]*connection
	exchanges   map[*exchangeRun]struct{}
	random      *rand.Rand
}

// NewServer returns a Server that listens once Serve runs.
func NewServer(parts Parts) *Server {
	s := &Server{
		parts:       parts,
		connections: make(map[*nbio.Conn]*connection),
		exchanges:   make(map[*exchangeRun]struct{}),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		buffer:      make([]byte, readBuffer),
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = maxConnections
	s.loop = nbio.NewEngine(nbio.Config{
		Name: "passthrough", Network: "tcp", Addrs: []string{parts.Address}, NPoller: 1,
		ReadBufferSize: readBuffer, MaxWriteBufferSize: maxUnsent, Listen: listen,
	})
	s.pool = newPool(&s.parts, s.loop)
	s.loop.OnOpen(s.opened)
	s.loop.OnRead(s.read)
	s.loop.OnClose(s.closed)
	return s
}

// String names the part in the supervisor's reports.
func (s *Server) String() string { return "passthrough" }

// Serve answers callers until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	if err := s.loop.Start(); err != nil {
		return errors.WithMessagef(err, "listen for callers at %s", s.parts.Address)
	}
	s.parts.Log.Log(event.CallersListening, "address", s.parts.Address)
	ticks := s.parts.Timer.Every(idlePeriod, s.pool.idle.CloseExpired)
	defer ticks.Cancel()
	<-ctx.Done()
	s.ending.Store(true)
	s.loop.Stop()
	s.pool.stop()
	return ctx.Err()
}

// Drain answers what is in progress and returns when all has ended or ctx does; connections are
// closed behind their next answer.
func (s *Server) Drain(ctx context.Context) {
	s.stopping.Store(true)
	begun := s.parts.Timer.Now()
	ticks := make(chan struct{}, 1)
	ticking := s.parts.Timer.Every(drainPeriod, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	defer ticking.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			if s.parts.Timer.Now().Sub(begun) < rotationTime {
				continue
			}
			// The platform knows by now; what is taken later might not end in time.
			s.stopped.Store(true)
			if s.closeIdle() {
				return
			}
		}
	}
}

// Stopping tells whether the server was told to drain.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// closeIdle closes the connections between two requests and reports whether none was busy.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	all := make([]*connection, 0, len(s.connections))
	for _, conn := range s.connections {
		all = append(all, conn)
	}
	busy := len(s.exchanges)
	s.mu.Unlock()
	for _, conn := range all {
		conn.call(conn.closeIfIdle)
	}
	return busy == 0
}

func (s *Server) begin(x *exchangeRun) {
	s.mu.Lock()
	s.exchanges[x] = struct{}{}
	s.mu.Unlock()
}

func (s *Server) end(x *exchangeRun) {
	s.mu.Lock()
	delete(s.exchanges, x)
	s.mu.Unlock()
}

// draw returns a random number in [0,1).
func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// limits returns what callers may send by the rules in force.
func (s *Server) limits() (http1.Limits, time.Duration, time.Duration) {
	limits := http1.Limits{Head: defaultHead, Body: defaultBody}
	headTimeout, idle := defaultHeadTimeout, defaultIdle
	if table, known := s.parts.Rules.Table(); known {
		stated := table.Set().Limits
		if stated.MaxHeadBytes > 0 {
			limits.Head = stated.MaxHeadBytes
		}
		if stated.MaxBodyBytes > 0 {
			limits.Body = stated.MaxBodyBytes
		}
		if stated.HeadTimeout > 0 {
			headTimeout = stated.HeadTimeout
		}
		if stated.IdleTimeout > 0 {
			idle = stated.IdleTimeout
		}
	}
	return limits, headTimeout, idle
}

// opened is called for callers' connections and those to endpoints alike.
func (s *Server) opened(socket *nbio.Conn) {
	if socket.Session() != nil {
		return
	}
	conn := newConnection(s, socket)
	socket.SetSession(conn)
	s.mu.Lock()
	s.connections[socket] = conn
	s.mu.Unlock()
	_, headTimeout, _ := s.limits()
	conn.call(func() { conn.closeIn(headTimeout) })
}

// peer is one end of a connection of the event loop.
type peer interface {
	onData(data []byte)
	onClose(err error)
}

// read takes what has arrived. It reads up to the end, as the event loop by itself does not tell a
// connection that was reset from one that was closed in order.
func (s *Server) read(socket *nbio.Conn) {
	for {
		n, err := socket.Read(s.buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case err != nil:
			_ = socket.CloseWithError(err)
			return
		case n == 0:
			_ = socket.CloseWithError(io.EOF)
			return
		default:
			if p, ok := socket.Session().(peer); ok {
				p.onData(s.buffer[:n])
			}
		}
	}
}

func (s *Server) closed(socket *nbio.Conn, err error) {
	s.mu.Lock()
	delete(s.connections, socket)
	s.mu.Unlock()
	if p, ok := socket.Session().(peer); ok {
		p.onClose(err)
	}
}

func listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: controlSocket, KeepAlive: -1}
	return config.Listen(context.Background(), network, address)
}

// ReadyHandler answers whether the platform may send callers here; ready returns nil, or why not.
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
