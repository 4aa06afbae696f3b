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

// keepAlive is how long a connection may stay idle. It also bounds the duration of a streamed answer.
const keepAlive = time.Hour

// Server answers HTTP requests on one address.
type Server struct {
	listen  string
	handler func(*Exchange)
	engine  *nbhttp.Engine

	mu          sync.Mutex
	connections map[net.Conn]*connection
}

// connection is one open connection, with the functions to call when it is closed.
type connection struct {
	inner   *nbio.Conn
	silent  atomic.Bool
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
		KeepaliveTime:   keepAlive,
		IOMod:           nbhttp.IOModNonBlocking,
	})
	s.engine.OnClose(func(c net.Conn, _ error) { s.handleClosed(c) })
	if err := s.engine.Start(); err != nil {
		return errors.Wrapf(err, "listen on %s", s.listen)
	}
	return nil
}

// Address returns the IP:PORT on which the server listens.
func (s *Server) Address() string {
	return s.engine.AddrConfigs[0].Addr
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.engine.Stop()
}

// Silence makes the open connections silent permanently: they stay open but are not answered. New connections work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connections {
		c.silent.Store(true)
	}
}

// onClose registers a function to be called once when the connection is closed.
func (s *Server) onClose(c *connection, closed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.connections[c.inner]; open {
		c.onClose = append(c.onClose, closed)
	}
}

func (s *Server) handleClosed(c net.Conn) {
	s.mu.Lock()
	known := s.connections[c]
	delete(s.connections, c)
	s.mu.Unlock()
	if known == nil {
		return
	}
	for _, call := range known.onClose {
		call()
	}
}

// connectionOf returns the connection of a response, and registers it if it is new.
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
	known := s.connections[inner]
	if known != nil {
		return known
	}
	known = &connection{inner: inner}
	s.connections[inner] = known
	if closed, _ := inner.IsClosed(); closed {
		delete(s.connections, inner)
	}
	return known
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connectionOf(response)
	if _, _, err := response.Hijack(); err != nil || c == nil || c.silent.Load() {
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
