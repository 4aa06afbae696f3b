package engine

import (
	"encoding/json"
	"fmt"
	"net/url"
	"sync"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

const statusOK = 200

// errEarlyEnd tells of an answer that ended without a closing event.
var errEarlyEnd = errors.New("the answer ended without a closing event")

// StreamHandler gets what happens on one attempt of a stream, call after call.
type StreamHandler interface {
	// OnSending is called right before the first byte goes out.
	OnSending()
	// OnEvents gets the events that arrived together; the slice is valid during the call only.
	OnEvents(events []Event)
	// OnFailure ends the attempt when no closing event came; nothing is called after it.
	OnFailure(failure *Error)
}

// Stream is one attempt in progress at the first engine of its route.
type Stream struct {
	client  *Client
	address string
	start   *StreamRequest
	handler StreamHandler
	lines   lineReader
	events  []Event
	status  int
	// closing tells that the last event of the attempt has arrived.
	closing bool

	mu       sync.Mutex
	conn     *connection
	canceled bool
}

// OpenStream starts an attempt; fresh demands a new connection.
func (c *Client) OpenStream(address string, start *StreamRequest, fresh bool, handler StreamHandler) *Stream {
	s := &Stream{client: c, address: address, start: start, handler: handler}
	body, err := json.Marshal(start)
	if err != nil {
		c.dials.Go(func() error {
			handler.OnFailure(&Error{kind: FailureMalformed, step: s.step(), peer: address, cause: err})
			return nil
		})
		return s
	}
	request := appendRequest(nil, "POST", "/v1/streams", address, body)
	c.send(exchange{address: address, step: s.step(), request: request, fresh: fresh, receiver: s})
	return s
}

func (s *Stream) step() string {
	return fmt.Sprintf("stream %s attempt %d", s.start.Stream, s.start.Attempt)
}

// Abandon ends the attempt at this side without further calls; the engine keeps its KV.
func (s *Stream) Abandon() {
	s.mu.Lock()
	conn := s.conn
	again := s.canceled
	s.canceled = true
	s.mu.Unlock()
	if !again && conn != nil {
		conn.abandon(s)
	}
}

// CancelStream tells an engine that an attempt is not wanted any more; a failure needs no reaction.
func (c *Client) CancelStream(address string, id chicoryhall.RequestID, attempt int) {
	path := fmt.Sprintf("/v1/streams/%s?attempt=%d", url.PathEscape(string(id)), attempt)
	request := appendRequest(nil, "DELETE", path, address, nil)
	c.send(exchange{address: address, step: "cancel stream", request: request, receiver: ignored{}})
}

func (s *Stream) onSending(conn *connection) {
	s.mu.Lock()
	s.conn = conn
	canceled := s.canceled
	s.mu.Unlock()
	if canceled {
		conn.abandon(s)
		return
	}
	s.handler.OnSending()
}

func (s *Stream) onStatus(code int) { s.status = code }

func (s *Stream) onBody(piece []byte) error {
	if s.status != statusOK {
		return nil
	}
	events, err := s.lines.read(s.events[:0], piece)
	s.events = events
	if len(events) > 0 && !s.isCanceled() {
		s.closing = ends(events[len(events)-1].Kind)
		s.handler.OnEvents(events)
	}
	if err != nil {
		s.fail(&Error{kind: FailureMalformed, sent: true, cause: err})
	}
	return err
}

func (s *Stream) onWhole() {
	switch {
	case s.closing:
	case s.status != statusOK:
		s.fail(&Error{kind: FailureStatus, sent: true, status: s.status, cause: fmt.Errorf("status %d", s.status)})
	default:
		s.fail(&Error{kind: FailureBroken, sent: true, cause: errEarlyEnd})
	}
}

func (s *Stream) onFailure(failure *Error) {
	if !s.closing {
		s.fail(failure)
	}
}

// fail reports the end of the attempt once.
func (s *Stream) fail(failure *Error) {
	s.mu.Lock()
	done := s.canceled
	s.canceled = true
	s.mu.Unlock()
	if done {
		return
	}
	failure.step, failure.peer = s.step(), s.address
	s.handler.OnFailure(failure)
}

func (s *Stream) isCanceled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// ends reports whether an event is the last of its attempt.
func ends(kind EventKind) bool {
	return kind == EventDone || kind == EventRefused || kind == EventStageFailed
}

// ignored is the receiver of an exchange whose answer does not matter.
type ignored struct{}

func (ignored) onSending(*connection) {}
func (ignored) onStatus(int)          {}
func (ignored) onBody([]byte) error   { return nil }
func (ignored) onWhole()              {}
func (ignored) onFailure(*Error)      {}
