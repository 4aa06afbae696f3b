package passthrough

import (
	"net/http"
	"slices"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/http1"
	"chicoryhall.example/chicoryhall/mailbox"
)

const (
	// lingerTime is how long a connection stays open for its last answer to be read.
	lingerTime = time.Second
	// lateGrace is how long a connection stays open whose end comes this much late or later: the
	// process was held up, and what its peer sent meanwhile is read first.
	lateGrace = 50 * time.Millisecond
)

// message is one thing for a caller's connection to handle: bytes or a call.
type message struct {
	data []byte
	call func()
}

// connection is one caller's connection; its requests are answered one after another. Its fields
// are used by the mailbox's turn alone.
type connection struct {
	server *Server
	socket *nbio.Conn
	box    *mailbox.Box[message]
	reader *http1.Reader[*http.Request]

	// head and body are the request that is being read.
	head *http.Request
	body []byte
	// current is the exchange in progress, or nil.
	current *exchangeRun
	gone    bool
	// closing tells that no further request is taken.
	closing bool

	// closeAt is when the connection is closed unless the caller sends or is sent more, or zero.
	closeAt time.Time
	closer  alarm
	// extended tells that closeAt was put off once by lateGrace.
	extended bool
}

func newConnection(s *Server, socket *nbio.Conn) *connection {
	conn := &connection{server: s, socket: socket}
	conn.box = mailbox.New(conn.handle, func(m message) message {
		m.data = slices.Clone(m.data)
		return m
	})
	limits, _, _ := s.limits()
	conn.reader = http1.NewRequestReader(conn, limits)
	conn.closer = alarm{timer: s.parts.Timer, turn: conn.call, fire: conn.onCloseDue}
	return conn
}

func (conn *connection) handle(m message) {
	if m.call != nil {
		m.call()
		return
	}
	conn.feed(m.data)
}

// call runs a function in the connection's turn.
func (conn *connection) call(function func()) { conn.box.Post(message{call: function}) }

func (conn *connection) onData(data []byte) { conn.box.Post(message{data: data}) }

func (conn *connection) onClose(err error) { conn.call(func() { conn.handleClose(err) }) }

// handleClose ends the exchange in progress; err tells who closed the connection and why.
func (conn *connection) handleClose(err error) {
	conn.gone = true
	conn.closer.cancel()
	if conn.current != nil {
		conn.current.onCallerGone(err)
	}
}

// feed reads bytes of the caller.
func (conn *connection) feed(data []byte) {
	if conn.gone || conn.closing {
		return
	}
	if conn.current == nil && conn.head == nil {
		_, headTimeout, _ := conn.server.limits()
		conn.closeIn(headTimeout)
	}
	conn.check(conn.reader.Feed(data))
	limits, _, _ := conn.server.limits()
	if int64(conn.reader.Kept()) > limits.Body+int64(limits.Head) {
		conn.close()
	}
}

// check answers a message that cannot be read.
func (conn *connection) check(err error) {
	if err == nil || conn.closing {
		return
	}
	conn.server.parts.Log.Log(event.CallerRefused, "caller", conn.socket.RemoteAddr(), "detail", err)
	conn.server.parts.Metrics.answered(statusOf(err))
	conn.closing = true
	conn.writeWhole(statusOf(err), http.Header{}, []byte(err.Error()+"\n"), true)
	conn.linger()
}

// statusOf returns the status for a message that cannot be read.
func statusOf(err error) int {
	switch {
	case errors.Is(err, http1.ErrHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, http1.ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

// OnHead notes the head of a request.
func (conn *connection) OnHead(head *http.Request) error {
	conn.head, conn.body = head, nil
	if http1.ExpectsContinue(head) {
		conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	_, _, idle := conn.server.limits()
	conn.closeIn(idle)
	return nil
}

// OnBody keeps a piece of the request's body.
func (conn *connection) OnBody(piece []byte) error {
	conn.body = append(conn.body, piece...)
	return nil
}

// OnEnd begins the exchange of a whole request; later requests wait for its end.
func (conn *connection) OnEnd() error {
	conn.reader.Pause()
	conn.closeAt = time.Time{}
	x := newExchangeRun(conn, conn.head, conn.body)
	conn.head, conn.body = nil, nil
	conn.current = x
	x.begin()
	return nil
}

// ended frees the connection for the next request, or closes it.
func (conn *connection) ended(last bool) {
	conn.current = nil
	if conn.gone || conn.closing {
		return
	}
	if last {
		conn.closing = true
		conn.linger()
		return
	}
	_, _, idle := conn.server.limits()
	conn.closeIn(idle)
	// The rest of the bytes is read in a turn of its own, as this may be inside the reader's.
	conn.call(func() {
		if conn.current == nil && !conn.closing && !conn.gone {
			conn.check(conn.reader.Resume())
		}
	})
}

// linger closes the connection once its last answer has had time to be read.
func (conn *connection) linger() { conn.closeIn(lingerTime) }

// closeIn limits how long the connection stays open as it is.
func (conn *connection) closeIn(limit time.Duration) {
	conn.closeAt = conn.server.parts.Timer.Now().Add(limit)
	conn.extended = false
	conn.closer.set(conn.closeAt)
}

// onCloseDue closes the connection if its time is over. It runs in the connection's turn, so that
// no request that has been read is dropped.
func (conn *connection) onCloseDue(now time.Time) {
	switch {
	case conn.gone || conn.closeAt.IsZero():
	case now.Before(conn.closeAt):
		conn.closer.set(conn.closeAt)
	case !conn.extended && now.Sub(conn.closeAt) >= lateGrace:
		conn.closeIn(lateGrace)
		conn.extended = true
	default:
		conn.close()
	}
}

// close ends the connection at once.
func (conn *connection) close() {
	conn.closing = true
	_ = conn.socket.Close()
}

// closeIfIdle closes the connection if it is between two requests.
func (conn *connection) closeIfIdle() {
	if conn.current == nil && conn.head == nil && conn.reader.Between() && !conn.closing {
		conn.close()
	}
}

// write sends bytes; a caller that is too slow or gone loses its connection.
func (conn *connection) write(bytes []byte) {
	if conn.gone {
		return
	}
	if _, err := conn.socket.Write(bytes); err != nil {
		_ = conn.socket.Close()
	}
}

// writeWhole sends a whole answer.
func (conn *connection) writeWhole(status int, header http.Header, body []byte, last bool) {
	out := make([]byte, 0, len(body)+512)
	out = http1.AppendResponseHead(out, status, header, http1.FramingLength, len(body), last)
	conn.write(append(out, body...))
}
