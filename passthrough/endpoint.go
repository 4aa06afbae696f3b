package passthrough

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/http1"
)

// errUnasked tells that an endpoint sent bytes that belong to no request.
var errUnasked = errors.New("the endpoint sent bytes that belong to no request")

// endpointConnection is one connection to an endpoint; it carries one request at a time.
type endpointConnection struct {
	pool    *pool
	address string
	socket  *nbio.Conn
	reader  *http1.Reader[*http.Response]

	mu      sync.Mutex
	closed  bool
	current answerReceiver
	id      chicoryhall.RequestID
	method  string

	// The rest is used by the event loop alone.

	// skipping tells that the answer at hand belongs to an earlier request.
	skipping bool
	// whole tells that the current answer has ended in the bytes at hand.
	whole bool
	// last tells that the connection must not be used again.
	last bool
	// keep is how long the endpoint keeps the connection while it is idle.
	keep time.Duration
	// answered counts the answers on the connection.
	answered int
}

func newEndpointConnection(p *pool, address string, socket *nbio.Conn) *endpointConnection {
	conn := &endpointConnection{pool: p, address: address, socket: socket}
	conn.reader = http1.NewResponseReader(conn, conn.asked, http1.Limits{Head: maxHead})
	return conn
}

// asked returns the method of the request in progress.
func (conn *endpointConnection) asked() string {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.method
}

// begin writes a request; false means that the connection was closed before and nothing went out.
func (conn *endpointConnection) begin(one outgoing) bool {
	conn.mu.Lock()
	if conn.closed || conn.current != nil {
		conn.mu.Unlock()
		return false
	}
	conn.current, conn.id, conn.method = one.answer, one.id, one.method
	conn.mu.Unlock()
	one.answer.onSending(conn)
	// A failed write closes the connection, which ends the request through onClose.
	_, _ = conn.socket.Write(one.message)
	return true
}

// abandon closes the connection without a further call to its receiver.
func (conn *endpointConnection) abandon(of answerReceiver) {
	conn.mu.Lock()
	mine := conn.current == of
	if mine {
		conn.current = nil
		conn.closed = true
	}
	conn.mu.Unlock()
	if mine {
		_ = conn.socket.Close()
	}
}

// CloseIdle closes the connection while it carries nothing.
func (conn *endpointConnection) CloseIdle() {
	_ = conn.socket.Close()
}

func (conn *endpointConnection) receiver() answerReceiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// take ends the request in progress and returns its receiver.
func (conn *endpointConnection) take() answerReceiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	current := conn.current
	conn.current = nil
	return current
}

// onData handles bytes of the endpoint; what follows a whole answer makes the connection unfit.
func (conn *endpointConnection) onData(data []byte) {
	conn.whole = false
	err := conn.reader.Feed(data)
	switch {
	case conn.whole:
		// Bytes behind a whole answer change nothing in it.
		conn.last = conn.last || err != nil
		conn.finish()
	case err != nil:
		conn.fail(err)
	}
}

// finish hands a whole answer on and frees the connection for the next request.
func (conn *endpointConnection) finish() {
	conn.answered++
	fit := !conn.last && conn.keep > 0 && conn.reader.Between()
	current := conn.take()
	if fit {
		conn.pool.idle.Put(conn.address, conn, conn.pool.timer.Now().Add(conn.keep))
	} else {
		conn.CloseIdle()
	}
	if current != nil {
		current.onWhole()
	}
}

// fail closes the connection and ends the request in progress.
func (conn *endpointConnection) fail(err error) {
	conn.mu.Lock()
	conn.closed = true
	conn.mu.Unlock()
	current := conn.take()
	_ = conn.socket.Close()
	if current != nil {
		current.onFailure(err, true)
	}
}

// onClose ends the request in progress; an answer that ends with its connection is whole only if
// the endpoint closed in order.
func (conn *endpointConnection) onClose(err error) {
	conn.mu.Lock()
	conn.closed = true
	conn.mu.Unlock()
	conn.pool.idle.Drop(conn.address, conn)
	conn.whole = false
	if errors.Is(err, io.EOF) && conn.reader.End() == nil && conn.whole {
		if current := conn.take(); current != nil {
			current.onWhole()
		}
		return
	}
	if current := conn.take(); current != nil {
		if err == nil {
			err = net.ErrClosed
		}
		current.onFailure(err, true)
	}
}

// OnHead checks to which request an answer belongs and hands its head on.
func (conn *endpointConnection) OnHead(response *http.Response) error {
	current := conn.receiver()
	if current == nil || conn.whole {
		return errUnasked
	}
	if response.StatusCode < http.StatusOK {
		conn.skipping = true
		return nil
	}
	id := conn.pool.dialect.ParseAnswer(response).RequestID
	if conn.skipping = id != conn.id && (id != "" || conn.answered > 0); conn.skipping {
		// The answer is a late one to an earlier request; that to this one may still come.
		conn.last = true
		return nil
	}
	conn.last = conn.last || response.Close
	conn.keep = keepTime(response.Header)
	current.onHead(response)
	return nil
}

// OnBody hands a piece of the body on.
func (conn *endpointConnection) OnBody(piece []byte) error {
	if current := conn.receiver(); current != nil && !conn.skipping {
		current.onBody(piece)
	}
	return nil
}

// OnEnd notes that the answer is whole; what follows is decided once all bytes at hand are read.
func (conn *endpointConnection) OnEnd() error {
	if conn.skipping {
		conn.skipping = false
		return nil
	}
	conn.whole = true
	return nil
}

// keepTime reads how long an endpoint keeps an idle connection.
func keepTime(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if stated, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && stated >= 0 {
			return min(idleTimeout, time.Duration(stated)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}
