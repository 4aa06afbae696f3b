package http1

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"
)

// The errors of messages that exceed a limit.
var (
	ErrHeadTooLarge = errors.New("the head of the message exceeds the limit")
	ErrBodyTooLarge = errors.New("the body of the message exceeds the limit")
	// ErrCut tells that the connection ended inside a message.
	ErrCut = errors.New("the connection ended inside a message")
)

// Limits bound one message.
type Limits struct {
	Head int
	// Body is 0 where bodies are not bounded.
	Body int64
}

// Receiver is told of messages as they arrive; an error ends the connection.
type Receiver[H any] interface {
	// OnHead gives a whole head.
	OnHead(head H) error
	// OnBody gives a piece of the body that is valid during the call only.
	OnBody(piece []byte) error
	// OnEnd tells that the message is whole.
	OnEnd() error
}

// framing tells where a body ends.
type framing struct {
	chunked bool
	// untilClose tells that the body ends with the connection.
	untilClose bool
	length     int64
}

type state int

const (
	stateHead state = iota
	stateFixed
	stateUntilClose
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailer
)

// Reader splits the bytes of one connection into messages.
type Reader[H any] struct {
	receiver Receiver[H]
	limits   Limits
	parse    func(head []byte) (H, framing, error)

	state state
	// pending are bytes of a line or head that is not whole yet, or that wait while paused.
	pending []byte
	left    int64
	body    int64
	paused  bool
}

// NewRequestReader returns a Reader of a caller's requests.
func NewRequestReader(receiver Receiver[*http.Request], limits Limits) *Reader[*http.Request] {
	return &Reader[*http.Request]{receiver: receiver, limits: limits, parse: parseRequest}
}

// NewResponseReader returns a Reader of an endpoint's answers; method tells what the answer at
// hand was asked with.
func NewResponseReader(receiver Receiver[*http.Response], method func() string, limits Limits) *Reader[*http.Response] {
	parse := func(head []byte) (*http.Response, framing, error) { return parseResponse(head, method()) }
	return &Reader[*http.Response]{receiver: receiver, limits: limits, parse: parse}
}

// Pause keeps later messages back until Resume; bytes of them are kept.
func (r *Reader[H]) Pause() { r.paused = true }

// Resume goes on with the bytes that were kept.
func (r *Reader[H]) Resume() error {
	r.paused = false
	return r.Feed(nil)
}

// Between tells whether the connection is between two messages with nothing received of the next.
func (r *Reader[H]) Between() bool { return r.state == stateHead && len(r.pending) == 0 }

// Kept returns the number of bytes that are kept.
func (r *Reader[H]) Kept() int { return len(r.pending) }

// Feed takes the next bytes of the connection.
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

// End tells that the peer closed its side in order; the error is ErrCut inside a message.
func (r *Reader[H]) End() error {
	if r.state == stateUntilClose {
		return r.end()
	}
	if !r.Between() {
		return ErrCut
	}
	return nil
}

// step handles what the state asks for and returns how many bytes it used, or 0 for more.
func (r *Reader[H]) step(data []byte) (int, error) {
	switch r.state {
	case stateHead:
		return r.stepHead(data)
	case stateFixed:
		return r.stepFixed(data)
	case stateUntilClose:
		return len(data), r.piece(data)
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
	r.body = 0
	r.left = frame.length
	if err := r.receiver.OnHead(head); err != nil {
		return 0, err
	}
	return used, r.begin(frame)
}

// begin enters the state in which the body is read.
func (r *Reader[H]) begin(frame framing) error {
	switch {
	case frame.chunked:
		r.state = stateChunkSize
	case frame.untilClose:
		r.state = stateUntilClose
	case frame.length > 0:
		r.state = stateFixed
	default:
		return r.end()
	}
	return nil
}

func (r *Reader[H]) stepFixed(data []byte) (int, error) {
	used := int(min(int64(len(data)), r.left))
	if err := r.piece(data[:used]); err != nil {
		return 0, err
	}
	r.left -= int64(used)
	if r.left == 0 {
		return used, r.end()
	}
	return used, nil
}

// piece hands a piece of the body on.
func (r *Reader[H]) piece(data []byte) error {
	r.body += int64(len(data))
	if r.limits.Body > 0 && r.body > r.limits.Body {
		return ErrBodyTooLarge
	}
	return r.receiver.OnBody(data)
}

func (r *Reader[H]) end() error {
	r.state = stateHead
	return r.receiver.OnEnd()
}
