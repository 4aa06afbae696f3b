package passthrough

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/mailbox"
	"chicoryhall.example/chicoryhall/tcp"
)

const (
	// lingerTime is how long a connection stays open after its last answer so that the caller can read it.
	lingerTime = time.Second
	// If a connection's timeout is noticed lateGrace or more after it passed, the process was held up, and
	// data that arrived in time may not have been read yet. The connection then stays open for another
	// lateGrace.
	lateGrace = 50 * time.Millisecond
	// maxSendPause is how long a caller may take nothing of the rest of an answer before its connection is closed.
	maxSendPause = 10 * time.Second
	// retryAfterNoMemory is the Retry-After time of a request for whose body there was no memory.
	retryAfterNoMemory = time.Second
	// retryAfterDropped is the Retry-After time of a request of which bytes were dropped.
	retryAfterDropped = 50 * time.Millisecond
)

// errNoMemory reports that the bodies of the requests in progress take all memory that there is for them.
var errNoMemory = errors.New("the requests in progress take all memory that there is for them")

// message is an input of a caller's connection: received bytes or a function to call.
type message struct {
	data []byte
	call func()
}

// connection is a caller's connection. Its requests are answered one after another. Its fields are only used
// in its mailbox.
type connection struct {
	server *Server
	socket *tcp.Conn
	// isPeer is set if another daemon has opened the connection, at the address for daemons.
	isPeer bool
	box    *mailbox.Box[message]
	reader *http1.Reader[*http.Request]

	// head and body are those of the request that is being read, headMemory is the memory that its head takes.
	head       *http.Request
	body       bodyBuffer
	headMemory int64
	// current is the exchange in progress, or nil.
	current *callerExchange
	closed  bool
	// hasRequested is set once a request has been read completely.
	hasRequested bool
	// closing is set once no further request is accepted.
	closing bool
	// limits are those of the reader.
	limits http1.Limits
	// hasDropped is set once bytes behind the request in progress were dropped, as they exceed the limits.
	hasDropped bool

	// closeAt is when the connection is closed, or zero while an exchange is in progress. It is set when the
	// connection opens, with each piece of a request's head, after the head, and when an exchange ends. The head
	// timeout thus bounds the time from one piece of a head to the next, not that of the whole head.
	closeAt    time.Time
	closeTimer wakeupTimer
	// graceUsed is set once closeAt was postponed by lateGrace.
	graceUsed bool

	// written counts the bytes of answers since the last request. waitsForReader is set while unreadAckTimeout is in force.
	written        int
	waitsForReader bool

	// unsent counts the bytes of answers that the kernel has not taken yet. unsentAtCheck is its value when the connection
	// was last to be closed, and unsentSince when it was first found to be that.
	unsent        atomic.Int64
	unsentAtCheck int64
	unsentSince   time.Time
	// holdsBack is set while the endpoint's answer is not read, as the caller has too much of it to read.
	holdsBack atomic.Bool
	// awaitsReader is set while the next request waits until the caller has taken most of the answer before it.
	awaitsReader atomic.Bool
	// holdings is what the connection holds.
	holdings holdings
}

func newConnection(s *Server, socket *tcp.Conn) *connection {
	isPeer := socket.LocalAddr().String() == s.PeerAddress()
	conn := &connection{server: s, socket: socket, isPeer: isPeer}
	conn.holdings.progressed(s.config.Timer.Now())
	conn.limits = conn.currentLimits()
	conn.reader = http1.NewRequestReader(conn, conn.limits)
	conn.closeTimer = wakeupTimer{timer: s.config.Timer, post: conn.post, wake: conn.onCloseDue}
	conn.box = mailbox.New(conn.handle, func(m message) message {
		m.data = slices.Clone(m.data)
		return m
	})
	return conn
}

// currentLimits returns the limits on the size of a request that begins now.
func (conn *connection) currentLimits() http1.Limits {
	limits, _, _ := conn.server.limits()
	if conn.isPeer { // The other daemon may have accepted the request under rules with larger limits.
		limits.Head = max(limits.Head, defaultMaxHead) + ticketBytes
		limits.Body = max(limits.Body, defaultMaxBody)
	}
	return limits
}

// isBetweenRequests reports whether no request is in progress and nothing of the next one has been read.
func (conn *connection) isBetweenRequests() bool {
	return conn.current == nil && conn.head == nil && conn.reader.AtBoundary()
}

// updateLimits applies the current limits. They don't become smaller for requests of which something has been read.
func (conn *connection) updateLimits() {
	limits := conn.currentLimits()
	if !conn.isBetweenRequests() {
		limits.Head = max(limits.Head, conn.limits.Head)
		limits.Body = max(limits.Body, conn.limits.Body)
	}
	conn.limits = limits
	conn.reader.SetLimits(limits)
}

func (conn *connection) handle(m message) {
	if m.call != nil {
		m.call()
		return
	}
	conn.feed(m.data)
}

// post runs a function in the connection's mailbox.
func (conn *connection) post(function func()) { conn.box.Post(message{call: function}) }

// postLimited is post for a function that holds so many bytes. It waits while too many are queued.
func (conn *connection) postLimited(function func(), size int) {
	conn.box.PostLimited(message{call: function}, size)
}

// OnData handles bytes that the caller has sent.
func (conn *connection) OnData(data []byte) { conn.box.Post(message{data: data}) }

// OnClose handles the end of the connection.
func (conn *connection) OnClose(err error) {
	conn.server.forgetConnection(conn.socket)
	conn.post(func() { conn.handleClose(err) })
}

// OnWritten counts bytes that the kernel has taken.
func (conn *connection) OnWritten(n int) {
	conn.unsent.Add(-int64(n))
	conn.holdings.progressed(conn.server.config.Timer.Now())
}

// OnFlushed lets the endpoint go on with its answer, and the next request begin, once the caller has read enough.
func (conn *connection) OnFlushed() {
	if conn.awaitsReader.Load() && conn.unsent.Load() <= maxUnsentToBegin {
		conn.post(conn.readNext)
	}
	if conn.holdsBack.Load() && !conn.mustHoldBack(unsentToResume) {
		conn.post(conn.resumeAnswer)
	}
}

// handleClose ends the exchange in progress; err says how the connection was closed.
func (conn *connection) handleClose(err error) {
	conn.closed = true
	conn.closeTimer.cancel()
	conn.dropBody()
	if conn.current != nil {
		conn.current.onCallerGone(err)
	}
	conn.releaseHeld()
}

// feed handles bytes from the caller.
func (conn *connection) feed(data []byte) {
	if conn.closed || conn.closing {
		return
	}
	if conn.current == nil && conn.head == nil && !conn.reader.IsPaused() {
		_, headTimeout, _ := conn.server.limits()
		conn.setCloseTimeout(headTimeout)
	}
	if conn.hasDropped {
		return
	}
	conn.updateLimits()
	conn.noteReceived(len(data))
	conn.handleReadError(conn.reader.Feed(data))
	// The reader buffers further requests during an exchange, at most one of maximum size.
	conn.hasDropped = conn.reader.IsPaused() && int64(conn.reader.Buffered()) > conn.limits.Body+int64(conn.limits.Head)
	conn.recordHeld()
	conn.boundReadAhead()
}

// handleReadError answers a malformed or too large message and closes the connection.
func (conn *connection) handleReadError(err error) {
	if err == nil || conn.closing {
		return
	}
	conn.server.config.Log.Log(event.CallerRefused, "caller", conn.socket.RemoteAddr(), "detail", err)
	conn.server.config.Metrics.messageRefused(statusOf(err))
	conn.closing = true
	method := ""
	if conn.head != nil {
		method = conn.head.Method
	}
	conn.dropBody()
	header := http.Header{}
	if errors.Is(err, errNoMemory) {
		header.Set("Retry-After", secondsText(retryAfterNoMemory))
	}
	conn.writeOwn(method, statusOf(err), header, err.Error(), true)
	conn.linger()
}

// statusOf returns the status that answers a message which failed to parse with err.
func statusOf(err error) int {
	switch {
	case errors.Is(err, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// OnHead stores the head of a request. The idle timeout also bounds the time for its body.
func (conn *connection) OnHead(head *http.Request) error {
	conn.head, conn.body, conn.headMemory = head, bodyBuffer{}, headMemoryOf(head, conn.reader.HeadBytes())
	conn.holdings.progressed(conn.server.config.Timer.Now())
	if http1.ExpectsContinue(head) {
		conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	_, _, idle := conn.server.limits()
	conn.setCloseTimeout(idle)
	return nil
}

// OnBody appends a piece to the request's body, if there is memory for it.
func (conn *connection) OnBody(piece []byte) error {
	if !conn.takeBody(int64(len(piece))) {
		return errNoMemory
	}
	conn.body.append(piece)
	return nil
}

// dropBody drops the body of a request that has not been read completely.
func (conn *connection) dropBody() {
	conn.server.config.Memory.Release(int64(conn.body.size))
	conn.head, conn.body = nil, bodyBuffer{}
}

// OnEnd starts the exchange of a complete request and pauses the reader until it ends.
func (conn *connection) OnEnd() error {
	conn.reader.Pause()
	conn.closeAt = time.Time{}
	conn.expectReader()
	x := newCallerExchange(conn, conn.head, conn.body.join())
	conn.head, conn.body = nil, bodyBuffer{}
	conn.current = x
	conn.hasRequested = true
	x.start()
	return nil
}

// exchangeEnded makes the connection ready for the next request, or closes it if closeAfter is set.
func (conn *connection) exchangeEnded(closeAfter bool) {
	conn.current = nil
	conn.recordHeld()
	if conn.closed || conn.closing {
		return
	}
	if closeAfter {
		conn.closing = true
		conn.linger()
		return
	}
	conn.setCloseTimeout(conn.idleTimeout())
	// The reader must not be called recursively: this function may have been called by it.
	conn.post(conn.readNext)
}

// readNext goes on reading after an exchange, once the caller has taken most of the answer.
func (conn *connection) readNext() {
	if conn.current != nil || conn.closing || conn.closed || !conn.reader.IsPaused() {
		return
	}
	conn.awaitsReader.Store(true)
	if conn.unsent.Load() > maxUnsentToBegin { // OnFlushed calls this function again.
		return
	}
	conn.awaitsReader.Store(false)
	conn.handleReadError(conn.reader.Resume())
	conn.recordHeld()
	conn.boundReadAhead()
	conn.refuseDropped()
}

// awaitReader gives the caller more time to read a long answer, as a part of it may wait until the caller goes on reading.
func (conn *connection) awaitReader() {
	if conn.written >= minUnread && !conn.waitsForReader {
		conn.waitsForReader = true
		conn.socket.SetAckTimeout(unreadAckTimeout)
	}
}

// expectReader ends awaitReader when a request begins: a caller that is gone is noticed soon while it waits for an answer.
func (conn *connection) expectReader() {
	conn.written = 0
	if conn.waitsForReader {
		conn.waitsForReader = false
		conn.socket.SetAckTimeout(ackTimeout)
	}
}

// refuseDropped refuses the request of which bytes were dropped, once all those before it have been answered.
func (conn *connection) refuseDropped() {
	if !conn.hasDropped || conn.closing || conn.reader.IsPaused() {
		return
	}
	conn.closing = true
	header := http.Header{"Retry-After": {secondsText(retryAfterDropped)}}
	conn.writeWhole(http.StatusServiceUnavailable, header, []byte("too many bytes behind a request in progress\n"), true)
	conn.linger()
}
