package serve

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// idleTimeout is how long a connection may go without receiving data. While an answer is streamed, nothing is received,
// so this is also the maximum duration of a streamed answer.
const idleTimeout = time.Hour

// Server answers HTTP requests on one address.
type Server struct {
	listen  string
	handler func(*Exchange)
	engine  *nbhttp.Engine

	mu sync.Mutex
	// connections are the open connections on which a request was received, by their inner connection.
	connections map[net.Conn]*connection
}

// connection is one open connection.
type connection struct {
	inner    *nbio.Conn
	silenced atomic.Bool
	// onClose are the functions to call when the connection is closed. The server's mu guards them.
	onClose []func()
}

// New returns a Server that listens on an IP:PORT and passes each request to handler.
func New(listen string, handler func(*Exchange)) *Server {
	return &Server{listen: listen, handler: handler, connections: map[net.Conn]*connection{}}
}

// Start starts listening.
func (s *Server) Start() error {
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{s.listen},
		Handler:         http.HandlerFunc(s.serve),
		MaxHTTPBodySize: maxBodyBytes,
		KeepaliveTime:   idleTimeout,
		IOMod:           nbhttp.IOModNonBlocking,
	})
	s.engine.OnClose(func(inner net.Conn, _ error) { s.handleClosed(inner) })
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "listen on %s", s.listen)
	}
	return nil
}

// Address returns the IP:PORT on which the server listens. It must not be called before Start.
func (s *Server) Address() string {
	return s.engine.AddrConfigs[0].Addr
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.engine.Stop()
}

// Silence makes the open connections discard all requests and answers permanently, but keeps them open. New connections
// are served.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.silenced.Store(true)
	}
}

// onClose registers a function to be called once when the connection is closed, unless it is closed already.
func (s *Server) onClose(c *connection, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.connections[c.inner]; open {
		c.onClose = append(c.onClose, f)
	}
}

// handleClosed removes a closed connection and calls its functions, without holding the lock.
func (s *Server) handleClosed(inner net.Conn) {
	s.mu.Lock()
	c := s.connections[inner]
	delete(s.connections, inner)
	s.mu.Unlock()
	if c == nil {
		return
	}
	for _, f := range c.onClose {
		f()
	}
}

// connectionOf returns the connection of a response, and registers it if it is new. nbhttp wraps the connection of
// nbio, which is the one that handleClosed gets. It returns nil if the response has another kind of connection.
func (s *Server) connectionOf(response *nbhttp.Response) *connection {
	wrapped, _ := response.Parser.Conn.(*nbhttp.Conn)
	if wrapped == nil {
		return nil
	}
	inner, _ := wrapped.Conn.(*nbio.Conn)
	if inner == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connections[inner]
	if c != nil {
		return c
	}
	c = &connection{inner: inner}
	s.connections[inner] = c
	// If the connection was closed before it was registered, handleClosed is not called again.
	if closed, _ := inner.IsClosed(); closed {
		delete(s.connections, inner)
	}
	return c
}

// serve reads a request and passes it to the handler. It takes the connection over from nbhttp (Hijack), which would
// otherwise answer when serve returns. A request on a silenced connection is left unanswered.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connectionOf(response)
	if _, _, err := response.Hijack(); err != nil || c == nil || c.silenced.Load() {
		return
	}
	body, err := io.ReadAll(r.Body)
	x := &Exchange{Method: r.Method, URL: r.URL, Header: r.Header, Body: body, server: s, connection: c}
	if err != nil {
		x.Fail(http.StatusBadRequest, "body was not read: %v", err)
		return
	}
	s.handler(x)
}
