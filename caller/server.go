package caller

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/requests"
)

const (
	// maxBody bounds a submission's body in bytes.
	maxBody = 256 << 10
	// maxHeaders bounds the request line and the headers in bytes.
	maxHeaders = 16 << 10
	// readTimeout bounds the time from a connection's start, or its last answer, to a whole request.
	readTimeout = 30 * time.Second
	// maxUnsent bounds the bytes that wait for a slow caller; above it the connection is cut.
	maxUnsent = 256 << 10
	// maxConnections bounds the callers' connections of one daemon.
	maxConnections = 20000
	// processorsPerPoller is the number of processors for which one goroutine waits for events.
	processorsPerPoller = 4
)

// Config are the parts that the callers' interface needs.
type Config struct {
	Address string
	// TLS serves encrypted connections, or is nil for plain TCP.
	TLS            *tls.Config
	Timer          chicoryhall.Timer
	Documents      chicoryhall.Documents
	Requests       *requests.Service
	RemoteRequests chicoryhall.RemoteRequests
	Metrics        *requests.Metrics
	// ExtraMetrics write the other parts' metrics.
	ExtraMetrics []func(io.Writer)
	// Ready returns nil when the daemon may get requests, or says why not.
	Ready func() error
	Log   *event.Logger
}

// Server is the callers' interface.
type Server struct {
	parts       Config
	connections connections
	work        errgroup.Group
	loop        *nbhttp.Engine
}

// NewServer returns a Server that listens once Serve runs.
func NewServer(parts Config) *Server {
	return &Server{parts: parts}
}

// String names the part in the supervisor's reports.
func (s *Server) String() string { return "callers' interface" }

// Serve answers callers until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	logging.SetLevel(logging.LevelNone)
	config := nbhttp.Config{
		Name: "callers", Network: "tcp",
		MaxLoad: maxConnections, ReadLimit: maxBody + maxHeaders, MaxHTTPBodySize: maxBody,
		NPoller:            max(1, runtime.GOMAXPROCS(0)/processorsPerPoller),
		MaxWriteBufferSize: maxUnsent, KeepaliveTime: readTimeout,
		Handler: http.HandlerFunc(s.handle), SupportServerOnly: true,
	}
	if s.parts.TLS == nil {
		config.Addrs = []string{s.parts.Address}
	} else {
		config.AddrsTLS, config.TLSConfig = []string{s.parts.Address}, s.parts.TLS
	}
	s.loop = nbhttp.NewEngine(config)
	s.loop.Engine.OnData(s.onData)
	s.loop.OnOpen(s.connections.opened)
	s.loop.OnClose(func(c net.Conn, _ error) { s.connections.closed(c) })
	if err := s.loop.Start(); err != nil {
		return errors.WithMessagef(err, "listen for callers at %s", s.parts.Address)
	}
	s.parts.Log.Log(event.CallersListening, "address", s.parts.Address)
	<-ctx.Done()
	s.loop.Stop()
	return ctx.Err()
}

// onData counts a request's bytes before they are parsed.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	conn := s.connections.of(c)
	if conn.received.Add(int64(len(data))) > maxBody+maxHeaders {
		s.parts.Log.Log(event.CallerRefused, "caller", c.RemoteAddr(), "detail", "oversized message")
		s.refuseMessage(conn, c, tooLarge())
		return
	}
	parser, ok := c.Session().(nbhttp.ParserCloser)
	if !ok {
		_ = c.Close()
		return
	}
	if _, isTLS := tlsOf(parser); isTLS {
		s.loop.TLSDataHandler(c, data)
		return
	}
	if err := parser.Parse(data); err != nil {
		s.parts.Log.Log(event.CallerRefused, "caller", c.RemoteAddr(), "detail", err)
		s.refuseMessage(conn, c, malformed("message", "the message is not HTTP/1.1: "+err.Error()))
	}
}

// refuseMessage answers what cannot be parsed; an encrypted connection is only closed.
func (s *Server) refuseMessage(conn *connection, c *nbio.Conn, problem Problem) {
	if s.parts.TLS != nil {
		_ = c.Close()
		return
	}
	conn.refuse(c, problem)
}
