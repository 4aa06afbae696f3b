package engine

import (
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// connection is one connection to an endpoint; it implements nbhttp.Processor so that each
// piece of an answer is handed on as it arrives.
type connection struct {
	client  *Client
	address string
	raw     *nbio.Conn

	mu     sync.Mutex
	closed bool
	step   string
	// current is the receiver of the exchange in progress, or nil.
	current receiver
	// last tells that the endpoint closes the connection behind this answer.
	last bool
}

func newConnection(client *Client, address string, raw *nbio.Conn) *connection {
	conn := &connection{client: client, address: address, raw: raw}
	parser := nbhttp.NewParser(raw, client.loop, conn, true, nil)
	raw.SetSession(parser)
	raw.OnData(client.loop.DataHandler)
	return conn
}

// begin writes a request; false means that the connection was closed before and nothing was written.
func (conn *connection) begin(x exchange) bool {
	conn.mu.Lock()
	if conn.closed || conn.current != nil {
		conn.mu.Unlock()
		return false
	}
	conn.current, conn.step, conn.last = x.receiver, x.step, false
	conn.mu.Unlock()
	x.receiver.onSending(conn)
	// A failed write closes the connection, which ends the exchange through Close.
	_, _ = conn.raw.Write(x.request)
	return true
}

// abandon closes the connection without a further call to its receiver.
func (conn *connection) abandon(of receiver) {
	conn.mu.Lock()
	mine := conn.current == of
	if mine {
		conn.current = nil
		conn.closed = true
	}
	conn.mu.Unlock()
	if mine {
		_ = conn.raw.Close()
	}
}

// CloseIdle closes the connection while it carries nothing.
func (conn *connection) CloseIdle() {
	_ = conn.raw.Close()
}

func (conn *connection) receiver() receiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// OnStatus hands the status on.
func (conn *connection) OnStatus(_ *nbhttp.Parser, code int, _ string) {
	if current := conn.receiver(); current != nil {
		current.onStatus(code)
	}
}

// OnHeader notices a connection that will not be reused.
func (conn *connection) OnHeader(_ *nbhttp.Parser, key, value string) {
	if key == "Connection" && value == "close" {
		conn.mu.Lock()
		conn.last = true
		conn.mu.Unlock()
	}
}

// OnBody hands one piece of the body on.
func (conn *connection) OnBody(_ *nbhttp.Parser, piece []byte) error {
	if current := conn.receiver(); current != nil {
		return current.onBody(piece)
	}
	return nil
}

// OnComplete ends the exchange and frees the connection for the next one.
func (conn *connection) OnComplete(*nbhttp.Parser) {
	conn.mu.Lock()
	current, last := conn.current, conn.last
	conn.current = nil
	conn.mu.Unlock()
	switch {
	case last || current == nil:
		_ = conn.raw.Close()
	default:
		conn.client.idle.Put(conn.address, conn, conn.client.timer.Now().Add(idleTimeout))
	}
	if current != nil {
		current.onWhole()
	}
}

// Close ends the exchange in progress with a failure.
func (conn *connection) Close(_ *nbhttp.Parser, err error) {
	conn.mu.Lock()
	conn.closed = true
	current, step := conn.current, conn.step
	conn.current = nil
	conn.mu.Unlock()
	if current == nil {
		conn.client.idle.Remove(conn.address, conn)
		return
	}
	if err == nil {
		err = net.ErrClosed
	}
	current.onFailure(&Error{kind: FailureBroken, step: step, peer: conn.address, sent: true, cause: err})
}

// OnMethod is not used by answers.
func (conn *connection) OnMethod(*nbhttp.Parser, string) {}

// OnURL is not used by answers.
func (conn *connection) OnURL(*nbhttp.Parser, string) error { return nil }

// OnProto accepts every version.
func (conn *connection) OnProto(*nbhttp.Parser, string) error { return nil }

// OnContentLength needs nothing, as the parser counts.
func (conn *connection) OnContentLength(*nbhttp.Parser, int) {}

// OnTrailerHeader ignores trailers.
func (conn *connection) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// Clean needs nothing.
func (conn *connection) Clean(*nbhttp.Parser) {}
