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

// errNoLastEvent means that the answer ended without EventDone, EventRefused or EventStageFailed.
var errNoLastEvent = errors.New("the answer ended without a done, refused or stage-failed event")

// StreamHandler receives what happens to one attempt. Its methods are called one at a time.
type StreamHandler interface {
	// OnSending is called before the first byte of the request is sent.
	OnSending()
	// OnEvents gets events that arrived together. The slice is valid only during the call.
	OnEvents(events []Event)
	// OnFailure is called last if the attempt ends without EventDone, EventRefused or
	// EventStageFailed.
	OnFailure(failure *Error)
}

// Stream is one attempt, in progress at the first engine of its route.
type Stream struct {
	client  *Client
	address string
	request *StreamRequest
	handler StreamHandler
	lines   lineDecoder
	events  []Event
	status  int
	// sawLastEvent means that the last event of the attempt has arrived.
	sawLastEvent bool

	mu   sync.Mutex
	conn *connection
	done bool
}

// OpenStream starts an attempt. If newConnection is set, no idle connection is used.
func (c *Client) OpenStream(address string, request *StreamRequest, newConnection bool, handler StreamHandler) *Stream {
	s := &Stream{client: c, address: address, request: request, handler: handler}
	body, err := json.Marshal(request)
	if err != nil {
		c.dials.Go(func() error {
			handler.OnFailure(&Error{kind: FailureMalformed, operation: s.operation(), address: address, cause: err})
			return nil
		})
		return s
	}
	message := appendRequest(nil, "POST", "/v1/streams", address, body)
	c.send(exchange{address: address, operation: s.operation(), request: message, newConnection: newConnection, receiver: s})
	return s
}

func (s *Stream) operation() string {
	return fmt.Sprintf("stream %s attempt %d", s.request.Stream, s.request.Attempt)
}

// Abandon closes the connection without further calls of the handler. The engine keeps the
// attempt's KV, so that a later attempt can reuse it; CancelStream lets the engine drop it.
func (s *Stream) Abandon() {
	s.mu.Lock()
	conn := s.conn
	already := s.done
	s.done = true
	s.mu.Unlock()
	if !already && conn != nil {
		conn.abandon(s)
	}
}

// CancelStream tells an engine that an attempt is no longer needed and its KV can be dropped. A
// failure is ignored.
func (c *Client) CancelStream(address string, id chicoryhall.RequestID, attempt int) {
	path := fmt.Sprintf("/v1/streams/%s?attempt=%d", url.PathEscape(string(id)), attempt)
	request := appendRequest(nil, "DELETE", path, address, nil)
	c.send(exchange{address: address, operation: "cancel stream", request: request, receiver: discardingReceiver{}})
}

func (s *Stream) onSending(conn *connection) {
	s.mu.Lock()
	s.conn = conn
	done := s.done
	s.mu.Unlock()
	if done {
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
	events, err := s.lines.decode(s.events[:0], piece)
	s.events = events
	if len(events) > 0 && !s.isDone() {
		s.sawLastEvent = isLastEvent(events[len(events)-1].Kind)
		s.handler.OnEvents(events)
	}
	if err != nil {
		s.fail(&Error{kind: FailureMalformed, sent: true, cause: err})
	}
	return err
}

func (s *Stream) onComplete() {
	switch {
	case s.sawLastEvent:
	case s.status != statusOK:
		s.fail(&Error{kind: FailureStatus, sent: true, status: s.status, cause: fmt.Errorf("status %d", s.status)})
	default:
		s.fail(&Error{kind: FailureBroken, sent: true, cause: errNoLastEvent})
	}
}

func (s *Stream) onFailure(failure *Error) {
	if !s.sawLastEvent {
		s.fail(failure)
	}
}

// fail reports the end of the attempt, at most once.
func (s *Stream) fail(failure *Error) {
	s.mu.Lock()
	done := s.done
	s.done = true
	s.mu.Unlock()
	if done {
		return
	}
	failure.operation, failure.address = s.operation(), s.address
	s.handler.OnFailure(failure)
}

func (s *Stream) isDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// isLastEvent reports whether events of a kind end their attempt.
func isLastEvent(kind EventKind) bool {
	return kind == EventDone || kind == EventRefused || kind == EventStageFailed
}

// discardingReceiver is the receiver of an exchange whose answer does not matter.
type discardingReceiver struct{}

func (discardingReceiver) onSending(*connection) {}
func (discardingReceiver) onStatus(int)          {}
func (discardingReceiver) onBody([]byte) error   { return nil }
func (discardingReceiver) onComplete()           {}
func (discardingReceiver) onFailure(*Error)      {}
