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

	"chicoryhall.example/chicoryhall/cmd/chicorystand/shutdown"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// idleTimeout is how long a connection may go without receiving data. While an answer is streamed, nothing is received,
// so this is also the maximum duration of a streamed answer.
const idleTimeout = time.Hour

// Server answers HTTP requests on one address.
type Server struct {
	listen     string
	handler    func(*Exchange)
	httpEngine *nbhttp.Engine

	mu sync.Mutex
	// connections are the open connections on which a request was received, by their nbio connection.
	connections map[net.Conn]*connection
}

// connection is one open connection.
type connection struct {
	nbioConn *nbio.Conn
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
	s.httpEngine = nbhttp.NewEngine(nbhttp.Config{
		Network:         "tcp",
		Addrs:           []string{s.listen},
		Handler:         http.HandlerFunc(s.serve),
		MaxHTTPBodySize: maxBodyBytes,
		KeepaliveTime:   idleTimeout,
		IOMod:           nbhttp.IOModNonBlocking,
	})
	s.httpEngine.OnClose(func(nbioConn net.Conn, _ error) { s.handleClosed(nbioConn) })
	if err := s.httpEngine.Start(); err != nil {
		return errors.Wrapf(err, "listen on %s", s.listen)
	}
	return nil
}

// Address returns the IP:PORT on which the server listens. It must not be called before Start.
func (s *Server) Address() string {
	return s.httpEngine.AddrConfigs[0].Addr
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	shutdown.Engine(s.httpEngine)
}

// Silence makes the open connections on which a request was received discard all further requests and answers
// permanently, but keeps them open. All other connections, open or new, are served.
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
	if _, open := s.connections[c.nbioConn]; open {
		c.onClose = append(c.onClose, f)
	}
}

// handleClosed removes a closed connection and calls its functions, without holding the lock.
func (s *Server) handleClosed(nbioConn net.Conn) {
	s.mu.Lock()
	c := s.connections[nbioConn]
	delete(s.connections, nbioConn)
	s.mu.Unlock()
	if c == nil {
		return
	}
	for _, f := range c.onClose {
		f()
	}
}

// connectionOf returns the connection of a response, and registers it if it is new. The response has a connection of
// nbhttp, which wraps one of nbio. The connections are registered by that of nbio, because handleClosed gets it.
// connectionOf returns nil if the response has another kind of connection.
func (s *Server) connectionOf(response *nbhttp.Response) *connection {
	wrapped, _ := response.Parser.Conn.(*nbhttp.Conn)
	if wrapped == nil {
		return nil
	}
	nbioConn, _ := wrapped.Conn.(*nbio.Conn)
	if nbioConn == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connections[nbioConn]
	if c != nil {
		return c
	}
	c = &connection{nbioConn: nbioConn}
	s.connections[nbioConn] = c
	// If the connection is closed already, handleClosed may have been called before the connection was registered. It
	// is not called again, so the entry has to be removed here.
	if closed, _ := nbioConn.IsClosed(); closed {
		delete(s.connections, nbioConn)
	}
	return c
}

// serve reads a request and passes it to the handler. It takes the connection over from nbhttp (Hijack), which would
// otherwise answer when serve returns. A request on a silenced connection is left unanswered, and so is one whose
// connection is not of the expected type or cannot be taken over.
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
