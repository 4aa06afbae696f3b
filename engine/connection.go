package engine

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// connection is a connection to an endpoint. It implements nbhttp.Processor, so that it gets each
// piece of an answer as it arrives.
type connection struct {
	client  *Client
	address string
	raw     *nbio.Conn

	mu        sync.Mutex
	closed    bool
	operation string
	// current is the receiver of the exchange in progress, or nil.
	current receiver
	// closeAfter means that the connection cannot be reused after this answer.
	closeAfter bool
}

func newConnection(client *Client, address string, raw *nbio.Conn) *connection {
	conn := &connection{client: client, address: address, raw: raw}
	parser := nbhttp.NewParser(raw, client.loop, conn, true, nil)
	raw.SetSession(parser)
	raw.OnData(client.loop.DataHandler)
	return conn
}

// start writes a request, unless its receiver does not want that any more: the connection is closed
// then. It returns false if the connection was already closed or in use and nothing was written.
func (conn *connection) start(x exchange) bool {
	conn.mu.Lock()
	if conn.closed || conn.current != nil {
		conn.mu.Unlock()
		return false
	}
	conn.current, conn.operation, conn.closeAfter = x.receiver, x.operation, false
	conn.mu.Unlock()
	if !x.receiver.onSending(conn) {
		conn.abandon(x.receiver)
		return true
	}
	// A failed write closes the connection, which ends the exchange through Close.
	_, _ = conn.raw.Write(x.request)
	return true
}

// abandon closes the connection, if the exchange of the expected receiver is in progress, without
// further calls of the receiver.
func (conn *connection) abandon(expected receiver) {
	conn.mu.Lock()
	isCurrent := conn.current == expected
	if isCurrent {
		conn.current = nil
		conn.closed = true
	}
	conn.mu.Unlock()
	if isCurrent {
		_ = conn.raw.Close()
	}
}

// CloseIdle closes the connection. Package idle calls it only if no exchange is in progress.
func (conn *connection) CloseIdle() {
	_ = conn.raw.Close()
}

func (conn *connection) currentReceiver() receiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// OnStatus passes the status on.
func (conn *connection) OnStatus(_ *nbhttp.Parser, code int, _ string) {
	if current := conn.currentReceiver(); current != nil {
		current.onStatus(code)
	}
}

// OnHeader notes whether the endpoint will close the connection.
func (conn *connection) OnHeader(_ *nbhttp.Parser, key, value string) {
	if key == "Connection" && value == "close" {
		conn.mu.Lock()
		conn.closeAfter = true
		conn.mu.Unlock()
	}
}

// OnBody passes a piece of the body on.
func (conn *connection) OnBody(_ *nbhttp.Parser, piece []byte) error {
	if current := conn.currentReceiver(); current != nil {
		return current.onBody(piece)
	}
	return nil
}

// OnComplete ends the exchange and makes the connection available for the next one.
func (conn *connection) OnComplete(*nbhttp.Parser) {
	conn.mu.Lock()
	current, closeAfter := conn.current, conn.closeAfter
	conn.current = nil
	conn.mu.Unlock()
	switch {
	case closeAfter || current == nil:
		_ = conn.raw.Close()
	default:
		conn.client.idle.Put(conn.address, conn, conn.client.timer.Now().Add(idleTimeout))
	}
	if current != nil {
		current.onComplete()
	}
}

// Close is called by nbhttp after the connection was closed, by whichever side. It ends the exchange
// in progress, if there is one, with a failure.
func (conn *connection) Close(_ *nbhttp.Parser, err error) {
	conn.mu.Lock()
	conn.closed = true
	current, operation := conn.current, conn.operation
	conn.current = nil
	conn.mu.Unlock()
	if current == nil {
		conn.client.idle.Remove(conn.address, conn)
		return
	}
	if err == nil {
		err = net.ErrClosed
	}
	current.onFailure(&Error{kind: FailureBroken, operation: operation, address: conn.address, sent: true, cause: err})
}

// OnMethod is called only for requests.
func (conn *connection) OnMethod(*nbhttp.Parser, string) {}

// OnURL is called only for requests.
func (conn *connection) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto accepts every version of HTTP.
func (conn *connection) OnProto(*nbhttp.Parser, string) error { return nil }

// OnContentLength does nothing; the parser enforces the length.
func (conn *connection) OnContentLength(*nbhttp.Parser, int) {}

// OnTrailerHeader ignores trailers.
func (conn *connection) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// Clean does nothing.
func (conn *connection) Clean(*nbhttp.Parser) {}
