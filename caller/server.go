package caller

import (
	"context"
	"fmt"
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
	// maxBodyBytes limits the body of a submission.
	maxBodyBytes = 256 << 10
	// headerAllowance is added to maxBodyBytes to limit a whole message, in bytes; there is no limit
	// on the headers alone.
	headerAllowance = 16 << 10
	// readTimeout limits the time from the opening of a connection, or the last answer, to the end
	// of a request.
	readTimeout = 30 * time.Second
	// maxUnsentBytes limits the bytes that wait for a slow caller; beyond it the connection is
	// closed.
	maxUnsentBytes = 256 << 10
	// maxConnections limits the number of callers' connections.
	maxConnections = 20000
	// processorsPerPoller is the number of processors per goroutine that polls for events.
	processorsPerPoller = 4
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Address string
	// TLS is the configuration for encrypted connections, or nil for plain TCP.
	TLS            *tls.Config
	Timer          chicoryhall.Timer
	Documents      chicoryhall.Documents
	Requests       *requests.Service
	RemoteRequests chicoryhall.RemoteRequests
	Metrics        *requests.Metrics
	// ExtraMetrics write the metrics of other components.
	ExtraMetrics []func(io.Writer)
	// Ready returns nil if the daemon is ready for requests, and otherwise the reason.
	Ready func() error
	Log   *event.Logger
}

// Server serves the interface for callers.
type Server struct {
	config      Config
	connections connections
	background  errgroup.Group
	loop        *nbhttp.Engine
}

// NewServer returns a Server; it listens when Serve runs.
func NewServer(config Config) *Server {
	return &Server{config: config}
}

// String returns the name that the supervisor logs.
func (s *Server) String() string { return "callers' interface" }

// Serve runs until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	logging.SetLevel(logging.LevelNone)
	config := nbhttp.Config{
		Name: "callers", Network: "tcp",
		MaxLoad: maxConnections, ReadLimit: maxBodyBytes + headerAllowance, MaxHTTPBodySize: maxBodyBytes,
		NPoller:            max(1, runtime.GOMAXPROCS(0)/processorsPerPoller),
		MaxWriteBufferSize: maxUnsentBytes, KeepaliveTime: readTimeout,
		Handler: http.HandlerFunc(s.handle), SupportServerOnly: true,
	}
	if s.config.TLS == nil {
		config.Addrs = []string{s.config.Address}
	} else {
		config.AddrsTLS, config.TLSConfig = []string{s.config.Address}, s.config.TLS
	}
	s.loop = nbhttp.NewEngine(config)
	s.loop.Engine.OnData(s.onData)
	s.loop.OnOpen(s.connections.onOpen)
	s.loop.OnClose(func(c net.Conn, _ error) { s.connections.onClose(c) })
	if err := s.loop.Start(); err != nil {
		return errors.WithMessagef(err, "listen for callers at %s", s.config.Address)
	}
	s.config.Log.Log(event.CallersListening, "address", s.config.Address)
	<-ctx.Done()
	s.loop.Stop()
	return ctx.Err()
}

// onData counts the received bytes, which are encrypted ones for TLS, and passes them to the
// parser.
func (s *Server) onData(socket *nbio.Conn, data []byte) {
	conn := s.connections.get(socket)
	if conn.receivedBytes.Add(int64(len(data))) > maxBodyBytes+headerAllowance {
		s.config.Log.Log(event.CallerRefused, "caller", socket.RemoteAddr(), "detail", fmt.Sprintf("the message is longer than %d bytes", maxBodyBytes+headerAllowance))
		s.refuseMessage(conn, socket, tooLargeProblem())
		return
	}
	parser, ok := socket.Session().(nbhttp.ParserCloser)
	if !ok {
		_ = socket.Close()
		return
	}
	if _, isTLS := tlsOf(parser); isTLS {
		s.loop.TLSDataHandler(socket, data)
		return
	}
	if err := parser.Parse(data); err != nil {
		s.config.Log.Log(event.CallerRefused, "caller", socket.RemoteAddr(), "detail", err)
		s.refuseMessage(conn, socket, malformedProblem("message", "the message is not HTTP/1.1: "+err.Error()))
	}
}

// refuseMessage answers a message that is too large or not HTTP/1.1. An encrypted connection is
// closed without an answer.
func (s *Server) refuseMessage(conn *connection, socket *nbio.Conn, problem Problem) {
	if s.config.TLS != nil {
		_ = socket.Close()
		return
	}
	conn.writeRefusal(socket, problem)
}
