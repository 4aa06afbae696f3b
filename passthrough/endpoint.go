package passthrough

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/tcp"
)

// errUnsolicited reports bytes from an endpoint that belong to no request.
var errUnsolicited = errors.New("the endpoint sent bytes that belong to no request")

const (
	// maxDiscardedAnswers bounds the interim answers, and those to earlier requests, before an answer.
	maxDiscardedAnswers = 64
	// maxDiscardedBytes bounds their bodies.
	maxDiscardedBytes = 1 << 20
	// maxRefusals is the number of requests that an endpoint may refuse on one connection before it is not reused.
	maxRefusals = 32
)

var errTooMuchDiscarded = errors.New("the endpoint sent too much that is not the answer to the request")

// endpointConnection is a connection to an endpoint. It carries one request at a time.
type endpointConnection struct {
	pool    *pool
	address string
	socket  *tcp.Conn
	reader  *http1.Reader[*http.Response]

	mu      sync.Mutex
	closed  bool
	current answerReceiver
	id      chicoryhall.RequestID
	method  string
	// endpoint is the endpoint that the connection leads to, or empty if it leads to another daemon.
	endpoint chicoryhall.EndpointID
	// isLate is set once the request has been abandoned because its deadline has passed.
	isLate bool
	// refused are the requests that the endpoint has refused on the connection.
	refused []chicoryhall.RequestID
	// requests counts those that it has carried.
	requests int

	// The fields below are only used by the event loop.

	// discarding is set while the answer being read is not the one that the current request waits for: an interim
	// (1xx) answer, or a late answer to an earlier request.
	discarding bool
	// discardedAnswers and discardedBytes count what was discarded since the last answer.
	discardedAnswers, discardedBytes int
	// hasForeign is set once an answer to another request has come.
	hasForeign bool
	// answerEnded is set if the current answer ended within the bytes being read.
	answerEnded bool
	// mustClose is set if the connection must not be reused.
	mustClose bool
	// maxIdle is how long the connection may be kept idle after the current answer.
	maxIdle time.Duration
	// answerCount counts the answers received on the connection.
	answerCount int
	// held is what the account says that the reader holds.
	held int
}

func newEndpointConnection(p *pool, address string, socket *tcp.Conn) *endpointConnection {
	conn := &endpointConnection{pool: p, address: address, socket: socket}
	conn.reader = http1.NewResponseReader(conn, conn.requestMethod, http1.Limits{Head: maxAnswerHead})
	return conn
}

// requestMethod returns the method of the request in progress.
func (conn *endpointConnection) requestMethod() string {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.method
}

// start writes a request, unless its receiver does not want it to be sent any more: the connection is closed then. It returns
// false if nothing was sent because the connection was closed before, or must not carry the request: it has carried one with the
// same ID that was refused, and nothing would tell that refusal, once more, from the answer.
func (conn *endpointConnection) start(request endpointRequest) bool {
	conn.mu.Lock()
	if conn.closed || conn.current != nil {
		conn.mu.Unlock()
		return false
	}
	if slices.Contains(conn.refused, request.id) {
		conn.closed = true
		conn.mu.Unlock()
		conn.socket.Close()
		return false
	}
	conn.current, conn.id, conn.method, conn.endpoint = request.receiver, request.id, request.method, request.endpoint
	conn.requests++
	conn.mu.Unlock()
	if !request.receiver.onSending(conn) {
		conn.pool.metrics.sendRevoked()
		conn.abandon(request.receiver)
		return true
	}
	// A failed write closes the connection, which ends the request through OnClose.
	_ = conn.socket.Write(request.message)
	return true
}

// abandon closes the connection if the receiver's request is still in progress; the receiver is not called any
// more.
func (conn *endpointConnection) abandon(receiver answerReceiver) {
	conn.mu.Lock()
	inProgress := conn.current == receiver
	if inProgress {
		conn.current = nil
		conn.closed = true
	}
	conn.mu.Unlock()
	if inProgress {
		conn.socket.Close()
	}
}

// CloseIdle closes an idle connection.
func (conn *endpointConnection) CloseIdle() {
	conn.socket.Close()
}

func (conn *endpointConnection) receiver() answerReceiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// endpointID returns the endpoint that the connection leads to, or nothing if it leads to another daemon.
func (conn *endpointConnection) endpointID() chicoryhall.EndpointID {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.endpoint
}

// takeReceiver ends the request in progress and returns its receiver.
func (conn *endpointConnection) takeReceiver() answerReceiver {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	current := conn.current
	conn.current = nil
	return current
}

// OnWritten does nothing.
func (conn *endpointConnection) OnWritten(int) {}

// OnFlushed does nothing.
func (conn *endpointConnection) OnFlushed() {}

// OnData handles bytes from the endpoint.
func (conn *endpointConnection) OnData(data []byte) {
	conn.answerEnded = false
	err := conn.reader.Feed(data)
	conn.recordHeld(conn.reader.Held())
	if err == nil && !mayHold(conn.pool.account, conn.held) {
		err = errNoMemoryForAnswer
	}
	switch {
	case conn.answerEnded:
		// Invalid bytes after a complete answer don't invalidate it, but prevent reuse of the connection.
		conn.mustClose = conn.mustClose || err != nil
		conn.finish()
	case err != nil:
		conn.fail(err)
	}
}

// recordHeld records how many bytes of an incomplete head or line the reader holds.
func (conn *endpointConnection) recordHeld(bytes int) {
	if bytes != conn.held {
		conn.pool.account.Add(memory.CauseAnswer, int64(bytes-conn.held))
		conn.held = bytes
	}
}

// finish completes the request in progress and makes the connection available for the next one, or closes it.
func (conn *endpointConnection) finish() {
	conn.answerCount++
	conn.discardedAnswers, conn.discardedBytes = 0, 0
	reusable := !conn.mustClose && conn.maxIdle > 0 && conn.reader.AtBoundary()
	current := conn.takeReceiver()
	conn.socket.Resume() // Nobody holds it back from here on.
	if reusable {
		conn.pool.idle.Put(conn.address, conn, conn.pool.timer.Now().Add(conn.maxIdle))
	} else {
		conn.CloseIdle()
	}
	if current != nil {
		current.onEnd()
	}
}

// fail closes the connection and ends the request in progress.
func (conn *endpointConnection) fail(err error) {
	conn.mu.Lock()
	conn.closed = true
	conn.mu.Unlock()
	current := conn.takeReceiver()
	conn.socket.Close()
	if current != nil {
		current.onFailure(err, true)
	}
}

// OnClose ends the request in progress. An answer that is delimited by the end of its connection is complete
// only if the endpoint closed the connection without a reset.
func (conn *endpointConnection) OnClose(err error) {
	conn.recordHeld(0)
	conn.mu.Lock()
	conn.closed = true
	conn.mu.Unlock()
	conn.pool.idle.Remove(conn.address, conn)
	if errors.Is(err, io.EOF) && conn.endsAnswer() {
		if current := conn.takeReceiver(); current != nil {
			current.onEnd()
		}
		return
	}
	if current := conn.takeReceiver(); current != nil {
		if err == nil {
			err = net.ErrClosed
		}
		current.onFailure(err, true)
	}
}

// endsAnswer reports whether the end of the connection completes the current answer. The event loop must have read that end: it
// may still read a connection that was closed from elsewhere.
func (conn *endpointConnection) endsAnswer() bool {
	conn.answerEnded = false
	return conn.reader.End() == nil && conn.answerEnded
}

// OnHead checks that the answer belongs to the request in progress and forwards its head to the receiver.
func (conn *endpointConnection) OnHead(response *http.Response) error {
	current, headers := conn.receiver(), conn.pool.dialect.ParseAnswer(response)
	conn.checkRefusal(response, headers)
	if current == nil {
		conn.recordLate(headers)
		return errUnsolicited
	}
	if conn.answerEnded {
		return errUnsolicited
	}
	if response.StatusCode < http.StatusOK {
		return conn.discard()
	}
	conn.pool.recordAnswer(conn.endpointID(), headers)
	id := headers.RequestID
	// An answer with another ID belongs to an earlier request. One without an ID may do so too, unless it is the
	// first on the connection.
	if id != conn.id && (id != "" || conn.answerCount > 0 || conn.hasForeign) {
		// The answer to the current request may still follow before the connection is closed.
		conn.mustClose, conn.hasForeign = true, true
		return conn.discard()
	}
	if headers.NotRun {
		conn.noteRefusal()
	}
	conn.discarding = false
	conn.mustClose = conn.mustClose || response.Close
	conn.maxIdle = keepAliveTime(response.Header)
	current.onHead(response)
	return nil
}

// requestCount returns the number of requests that the connection has carried.
func (conn *endpointConnection) requestCount() int {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.requests
}

// checkRefusal reports an answer that shows that a request has run which the endpoint had refused on the connection.
func (conn *endpointConnection) checkRefusal(response *http.Response, headers chicoryhall.AnswerHeaders) {
	if headers.NotRun || response.StatusCode < http.StatusOK {
		return
	}
	conn.mu.Lock()
	wasRefused, endpoint := slices.Contains(conn.refused, headers.RequestID), conn.endpoint
	conn.mu.Unlock()
	if wasRefused {
		conn.pool.metrics.ranAfterRefusal()
		conn.pool.log.Log(event.RanAfterRefusal, "request", headers.RequestID, "endpoint", endpoint, "status", response.StatusCode,
			"connection", conn.socket.LocalAddr())
	}
}

// noteRefusal records that the endpoint has refused the request in progress.
func (conn *endpointConnection) noteRefusal() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.refused = append(conn.refused, conn.id)
	conn.mustClose = conn.mustClose || len(conn.refused) >= maxRefusals
}

// OnBody forwards a piece of the body to the receiver.
func (conn *endpointConnection) OnBody(piece []byte) error {
	if conn.discarding {
		if conn.discardedBytes += len(piece); conn.discardedBytes > maxDiscardedBytes {
			return errTooMuchDiscarded
		}
		return nil
	}
	if current := conn.receiver(); current != nil {
		current.onBody(piece)
	}
	return nil
}

// discard makes the connection discard the answer that begins.
func (conn *endpointConnection) discard() error {
	conn.discarding = true
	if conn.discardedAnswers++; conn.discardedAnswers > maxDiscardedAnswers {
		return errTooMuchDiscarded
	}
	return nil
}

// OnEnd records that the answer is complete. OnData and OnClose finish it once they have read all available
// bytes, as more bytes after it prevent reuse of the connection.
func (conn *endpointConnection) OnEnd() error {
	if conn.discarding {
		conn.discarding = false
		return nil
	}
	conn.answerEnded = true
	return nil
}

// keepAliveTime returns how long an idle connection may be reused according to the endpoint's Keep-Alive
// header.
func keepAliveTime(header http.Header) time.Duration {
	for param := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return min(endpointIdleTimeout, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return endpointIdleTimeout
}
