package caller

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
)

// lingerTime is how long a connection stays open so that the caller can read a refusal or a last
// answer.
const lingerTime = time.Second

// connections holds the state of each open connection, by its socket.
type connections struct {
	all sync.Map
}

// connection is the state of one connection of a caller.
type connection struct {
	// receivedBytes counts the bytes received since the last complete request.
	receivedBytes atomic.Int64

	mu sync.Mutex
	// busy means that an exchange is in progress.
	busy   bool
	closed bool
	// stop ends the subscription to the progress of the exchange's request.
	stop func()
}

func (cs *connections) onOpen(socket net.Conn) {
	cs.all.Store(socket, &connection{})
}

// get returns the state of a connection. A connection that is not open any more counts as closed.
func (cs *connections) get(socket net.Conn) *connection {
	if known, ok := cs.all.Load(socket); ok {
		return known.(*connection)
	}
	return &connection{closed: true}
}

// onClose forgets a connection that was closed and stops following its request.
func (cs *connections) onClose(socket net.Conn) {
	known, ok := cs.all.LoadAndDelete(socket)
	if !ok {
		return
	}
	conn := known.(*connection)
	conn.mu.Lock()
	conn.closed = true
	stop := conn.stop
	conn.stop = nil
	conn.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// acquire marks the connection as busy; it returns false if an exchange is in progress or the
// connection is closed.
func (conn *connection) acquire() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.busy || conn.closed {
		return false
	}
	conn.busy = true
	return true
}

// release makes the connection available for the next request.
func (conn *connection) release() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = false
	conn.stop = nil
}

// stopOnClose sets the function that stops following a request when the connection is closed. If
// the connection is closed already, it calls the function at once; if the exchange has ended, it
// does nothing.
func (conn *connection) stopOnClose(stop func()) {
	conn.mu.Lock()
	closed, busy := conn.closed, conn.busy
	if !closed && busy {
		conn.stop = stop
	}
	conn.mu.Unlock()
	if closed {
		stop()
	}
}

// writeRefusal writes a Problem for a message that is not passed to a handler, unless an answer is
// being written. The connection ends after lingerTime, so that the caller can read the Problem.
func (conn *connection) writeRefusal(socket net.Conn, problem Problem) {
	if conn.acquire() {
		_, _ = socket.Write(appendProblem(nil, problem, true))
	}
	_ = socket.SetReadDeadline(time.Now().Add(lingerTime))
}

// socketsOf returns the socket of a response's connection and the connection to write to, which
// encrypts if the caller uses TLS. It returns false if the response is not one of nbhttp.
func socketsOf(w http.ResponseWriter) (net.Conn, net.Conn, bool) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return nil, nil, false
	}
	outer, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return response.Parser.Conn, response.Parser.Conn, true
	}
	if secure, ok := outer.Conn.(*tls.Conn); ok {
		return secure.Conn(), secure, true
	}
	return outer.Conn, outer.Conn, true
}

func tlsOf(parser nbhttp.ParserCloser) (*tls.Conn, bool) {
	outer, ok := parser.UnderlayerConn().(*nbhttp.Conn)
	if !ok {
		return nil, false
	}
	secure, ok := outer.Conn.(*tls.Conn)
	return secure, ok
}
