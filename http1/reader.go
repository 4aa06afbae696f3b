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

// Limits bounds the size of a message.
type Limits struct {
	Head int
	// Body is 0 if bodies are not limited.
	Body int64
}

// Receiver receives messages as they arrive. An error that it returns makes Feed fail.
type Receiver[H any] interface {
	// OnHead receives a complete head.
	OnHead(head H) error
	// OnBody receives a piece of the body, which is valid only during the call.
	OnBody(piece []byte) error
	// OnEnd is called when the message is complete.
	OnEnd() error
}

// framing describes how the end of a body is found.
type framing struct {
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

// Reader splits the bytes of a connection into messages.
type Reader[H any] struct {
	receiver Receiver[H]
	limits   Limits
	parse    func(head []byte) (H, framing, error)

	state state
	// pending holds the bytes of an incomplete line or head, or those that arrived while paused.
	pending []byte
	// remaining is the rest of the body or chunk, bodyBytes the size of the body so far.
	remaining int64
	bodyBytes int64
	paused    bool
}

// NewRequestReader returns a Reader of requests.
func NewRequestReader(receiver Receiver[*http.Request], limits Limits) *Reader[*http.Request] {
	return &Reader[*http.Request]{receiver: receiver, limits: limits, parse: parseRequest}
}

// NewResponseReader returns a Reader of answers; method returns the method of the request that the next answer
// belongs to.
func NewResponseReader(receiver Receiver[*http.Response], method func() string, limits Limits) *Reader[*http.Response] {
	parse := func(head []byte) (*http.Response, framing, error) { return parseResponse(head, method()) }
	return &Reader[*http.Response]{receiver: receiver, limits: limits, parse: parse}
}

// Pause buffers the bytes of further messages until Resume is called.
func (r *Reader[H]) Pause() { r.paused = true }

// Resume handles the buffered bytes.
func (r *Reader[H]) Resume() error {
	r.paused = false
	return r.Feed(nil)
}

// AtBoundary reports whether the last message is complete and nothing of the next one has been received.
func (r *Reader[H]) AtBoundary() bool { return r.state == stateHead && len(r.pending) == 0 }

// Buffered returns the number of buffered bytes.
func (r *Reader[H]) Buffered() int { return len(r.pending) }

// Feed handles the next bytes of the connection.
func (r *Reader[H]) Feed(data []byte) error {
	if len(r.pending) > 0 {
		data = append(r.pending, data...)
		r.pending = nil
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
	if len(data) > 0 {
		r.pending = append([]byte(nil), data...)
	}
	return nil
}

// End handles an orderly end of the connection. It returns ErrIncomplete inside a message that does not end
// with its connection.
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
	head, frame, err := r.parse(data[:used])
	if err != nil {
		return 0, err
	}
	if r.limits.Body > 0 && frame.length > r.limits.Body {
		return 0, ErrBodyTooLarge
	}
	r.bodyBytes = 0
	r.remaining = frame.length
	if err := r.receiver.OnHead(head); err != nil {
		return 0, err
	}
	return used, r.startBody(frame)
}

// startBody sets the state in which the body is read.
func (r *Reader[H]) startBody(frame framing) error {
	switch {
	case frame.chunked:
		r.state = stateChunkSize
	case frame.untilClose:
		r.state = stateUntilClose
	case frame.length > 0:
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
func (r *Reader[H]) deliver(data []byte) error {
	r.bodyBytes += int64(len(data))
	if r.limits.Body > 0 && r.bodyBytes > r.limits.Body {
		return ErrBodyTooLarge
	}
	return r.receiver.OnBody(data)
}

func (r *Reader[H]) endMessage() error {
	r.state = stateHead
	return r.receiver.OnEnd()
}
