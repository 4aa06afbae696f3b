package http1

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

// The errors of messages that are too large or incomplete.
var (
	ErrHeadTooLarge = errors.New("the head of the message exceeds the limit")
	ErrBodyTooLarge = errors.New("the body of the message exceeds the limit")
	// ErrIncomplete means that the connection ended inside a message.
	ErrIncomplete = errors.New("the connection ended inside a message")
)

// Limits bounds the size of a message in bytes.
type Limits struct {
	// Head limits the head. It must be set: with 0, every head is too large.
	Head int
	// Body limits the body; 0 means no limit.
	Body int64
}

// Receiver receives messages as they arrive; H is the type of their heads. If a method returns an error, the
// Reader's method that called it returns the same error.
type Receiver[H any] interface {
	// OnHead receives a complete head.
	OnHead(head H) error
	// OnBody receives a piece of the body, which is valid only during the call.
	OnBody(piece []byte) error
	// OnEnd is called when the message is complete.
	OnEnd() error
}

// bodyFraming describes how the end of a body that is read is found; Framing is its counterpart for answers that
// are written.
type bodyFraming struct {
	chunked bool
	// untilClose is set if the body ends with the connection.
	untilClose bool
	length     int64
}

type state int

const (
	stateHead state = iota
	stateLength
	stateUntilClose
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailer
)

// Reader splits the bytes of a connection into messages with heads of type H. After a method has returned an error,
// the Reader must not be fed any more.
type Reader[H any] struct {
	receiver Receiver[H]
	limits   Limits
	parse    func(head []byte) (H, bodyFraming, error)

	state state
	// pending holds the bytes of an incomplete line or head, or those that arrived while paused.
	pending []byte
	// allocated is the size of the memory that pending is a part of.
	allocated int
	// headBytes is the size of the last head.
	headBytes int
	// remaining is the rest of the body or chunk, bodyBytes the size of the body so far.
	remaining int64
	bodyBytes int64
	// trailerBytes is the size of the trailer so far.
	trailerBytes int
	paused       bool
}

// NewRequestReader returns a Reader of requests.
func NewRequestReader(receiver Receiver[*http.Request], limits Limits) *Reader[*http.Request] {
	return &Reader[*http.Request]{receiver: receiver, limits: limits, parse: parseRequest}
}

// NewResponseReader returns a Reader of answers. It calls method once per head for the method of the request
// that the answer belongs to.
func NewResponseReader(receiver Receiver[*http.Response], method func() string, limits Limits) *Reader[*http.Response] {
	parse := func(head []byte) (*http.Response, bodyFraming, error) { return parseResponse(head, method()) }
	return &Reader[*http.Response]{receiver: receiver, limits: limits, parse: parse}
}

// Pause makes the Reader buffer the bytes after the current message until Resume is called. The caller has to
// bound the buffer; see Buffered.
func (r *Reader[H]) Pause() { r.paused = true }

// IsPaused reports whether the Reader buffers the bytes after a message.
func (r *Reader[H]) IsPaused() bool { return r.paused }

// SetLimits sets the limits for the current message and those after it.
func (r *Reader[H]) SetLimits(limits Limits) { r.limits = limits }

// Resume handles the buffered bytes.
func (r *Reader[H]) Resume() error {
	r.paused = false
	return r.Feed(nil)
}

// AtBoundary reports whether the last message is complete and nothing of the next one has been received.
func (r *Reader[H]) AtBoundary() bool { return r.state == stateHead && len(r.pending) == 0 }

// Buffered returns the number of buffered bytes.
func (r *Reader[H]) Buffered() int { return len(r.pending) }

// Held returns the size of the memory in which bytes are buffered.
func (r *Reader[H]) Held() int { return r.allocated }

// HeadBytes returns the size of the last head.
func (r *Reader[H]) HeadBytes() int { return r.headBytes }

// join returns the pending bytes followed by others.
func (r *Reader[H]) join(data []byte) []byte {
	joined := append(r.pending, data...)
	if cap(joined) > cap(r.pending) {
		r.allocated = cap(joined)
	}
	r.pending = nil
	return joined
}

// shrinkFactor is how many times larger than the pending bytes their memory may be.
const shrinkFactor = 4

// keep makes bytes the pending ones, which are a copy already if isOwn is set. The few that are left of many are copied, so that they do
// not keep the memory of all.
func (r *Reader[H]) keep(data []byte, isOwn bool) {
	switch {
	case len(data) == 0:
		data, r.allocated = nil, 0
	case !isOwn || len(data) < r.allocated/shrinkFactor:
		data = append([]byte(nil), data...)
		r.allocated = cap(data)
	}
	r.pending = data
}

// Feed handles the next bytes of the connection.
func (r *Reader[H]) Feed(data []byte) error {
	if r.paused && r.state == stateHead {
		r.pending = r.join(data)
		return nil
	}
	isOwn := len(r.pending) > 0
	if isOwn {
		data = r.join(data)
	}
	for len(data) > 0 {
		if r.paused && r.state == stateHead {
			break
		}
		used, err := r.step(data)
		if err != nil {
			return err
		}
		if used == 0 {
			break
		}
		data = data[used:]
	}
	r.keep(data, isOwn)
	return nil
}

// End handles an orderly end of the connection. An incomplete message is ErrIncomplete, unless its body ends
// with the connection.
func (r *Reader[H]) End() error {
	if r.state == stateUntilClose {
		return r.endMessage()
	}
	if !r.AtBoundary() {
		return ErrIncomplete
	}
	return nil
}

// step handles data according to the state and returns the number of bytes used; 0 means that more data is
// needed.
func (r *Reader[H]) step(data []byte) (int, error) {
	switch r.state {
	case stateHead:
		return r.stepHead(data)
	case stateLength:
		return r.stepLength(data)
	case stateUntilClose:
		return len(data), r.deliver(data)
	case stateChunkSize:
		return r.stepChunkSize(data)
	case stateChunkData:
		return r.stepChunkData(data)
	case stateChunkEnd:
		return r.stepChunkEnd(data)
	default:
		return r.stepTrailer(data)
	}
}

var endOfHead = []byte("\r\n\r\n")

func (r *Reader[H]) stepHead(data []byte) (int, error) {
	end := bytes.Index(data, endOfHead)
	if end < 0 {
		if len(data) > r.limits.Head {
			return 0, ErrHeadTooLarge
		}
		return 0, nil
	}
	used := end + len(endOfHead)
	if used > r.limits.Head {
		return 0, ErrHeadTooLarge
	}
	head, framing, err := r.parse(data[:used])
	if err != nil {
		return 0, err
	}
	if r.limits.Body > 0 && framing.length > r.limits.Body {
		return 0, ErrBodyTooLarge
	}
	r.bodyBytes = 0
	r.headBytes = used
	r.remaining = framing.length
	if err := r.receiver.OnHead(head); err != nil {
		return 0, err
	}
	return used, r.startBody(framing)
}

// startBody sets the state in which the body is read. A message without a body ends at once.
func (r *Reader[H]) startBody(framing bodyFraming) error {
	switch {
	case framing.chunked:
		r.state = stateChunkSize
	case framing.untilClose:
		r.state = stateUntilClose
	case framing.length > 0:
		r.state = stateLength
	default:
		return r.endMessage()
	}
	return nil
}

func (r *Reader[H]) stepLength(data []byte) (int, error) {
	used := int(min(int64(len(data)), r.remaining))
	if err := r.deliver(data[:used]); err != nil {
		return 0, err
	}
	r.remaining -= int64(used)
	if r.remaining == 0 {
		return used, r.endMessage()
	}
	return used, nil
}

// deliver passes a piece of the body to the receiver.
func (r *Reader[H]) deliver(piece []byte) error {
	r.bodyBytes += int64(len(piece))
	if r.limits.Body > 0 && r.bodyBytes > r.limits.Body {
		return ErrBodyTooLarge
	}
	return r.receiver.OnBody(piece)
}

func (r *Reader[H]) endMessage() error {
	r.state = stateHead
	return r.receiver.OnEnd()
}
