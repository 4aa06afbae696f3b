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

// lingerTime is how long a refused connection stays open for its answer to be read.
const lingerTime = time.Second

// connections holds the state of each open connection by its socket.
type connections struct {
	all sync.Map
}

// connection is the state of one caller's connection.
type connection struct {
	// received counts the bytes since the last whole request.
	received atomic.Int64

	mu sync.Mutex
	// busy tells that an answer is being written from a request's events.
	busy bool
	gone bool
	// stop ends the following of that request.
	stop func()
}

func (cs *connections) opened(socket net.Conn) {
	cs.all.Store(socket, &connection{})
}

// of returns the state of a connection; one that was closed is gone.
func (cs *connections) of(socket net.Conn) *connection {
	if known, ok := cs.all.Load(socket); ok {
		return known.(*connection)
	}
	return &connection{gone: true}
}

// closed ends the following on a connection that was closed.
func (cs *connections) closed(socket net.Conn) {
	known, ok := cs.all.LoadAndDelete(socket)
	if !ok {
		return
	}
	conn := known.(*connection)
	conn.mu.Lock()
	conn.gone = true
	stop := conn.stop
	conn.stop = nil
	conn.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// take marks the connection as busy; false means that another answer is in progress.
func (conn *connection) take() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.busy || conn.gone {
		return false
	}
	conn.busy = true
	return true
}

// release marks the connection as free for the next request.
func (conn *connection) release() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.busy = false
	conn.stop = nil
}

// onGone sets what ends the following; it is called at once when the connection is closed already.
func (conn *connection) onGone(stop func()) {
	conn.mu.Lock()
	gone, busy := conn.gone, conn.busy
	if !gone && busy {
		conn.stop = stop
	}
	conn.mu.Unlock()
	if gone {
		stop()
	}
}

// refuse answers a message that cannot be parsed and closes the connection.
func (conn *connection) refuse(socket net.Conn, problem Problem) {
	if conn.take() {
		_, _ = socket.Write(appendProblem(nil, problem, true))
	}
	_ = socket.SetReadDeadline(time.Now().Add(lingerTime))
}

// socketOf returns the socket under a response's connection.
func socketOf(w http.ResponseWriter) (net.Conn, net.Conn, bool) {
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
