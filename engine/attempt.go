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

// AttemptHandler receives what happens to one attempt. Its methods are called one at a time.
type AttemptHandler interface {
	// OnSending is called before the first byte of the request is sent. If it returns false, nothing is sent, and no other method
	// is called.
	OnSending() bool
	// OnEvents gets events that arrived together. The slice is valid only during the call.
	OnEvents(events []Event)
	// OnFailure is called last if the attempt ends without EventDone, EventRefused or
	// EventStageFailed.
	OnFailure(failure *Error)
}

// Attempt is one attempt of a request, in progress at the first engine of its route.
type Attempt struct {
	client  *Client
	address string
	request *StreamRequest
	handler AttemptHandler
	lines   lineDecoder
	events  []Event
	status  int
	// sawLastEvent means that the last event of the attempt has arrived.
	sawLastEvent bool

	mu   sync.Mutex
	conn *connection
	// done means that the handler must not be called any more, because Abandon was called or a
	// failure was reported. The last event does not set it, only sawLastEvent.
	done bool
}

// OpenAttempt starts an attempt. If newConnection is set, no idle connection is used.
func (c *Client) OpenAttempt(address string, request *StreamRequest, newConnection bool, handler AttemptHandler) *Attempt {
	a := &Attempt{client: c, address: address, request: request, handler: handler}
	body, err := json.Marshal(request)
	if err != nil {
		c.dials.Go(func() error {
			handler.OnFailure(&Error{kind: FailureMalformed, operation: a.operation(), address: address, cause: err})
			return nil
		})
		return a
	}
	message := appendRequest(nil, "POST", "/v1/streams", address, body)
	c.send(exchange{address: address, operation: a.operation(), request: message, newConnection: newConnection, receiver: a})
	return a
}

func (a *Attempt) operation() string {
	return fmt.Sprintf("stream %s attempt %d", a.request.Stream, a.request.Attempt)
}

// Abandon closes the connection without further calls of the handler. The engine keeps the
// attempt's KV, so that a later attempt can reuse it; CancelAttempt lets the engine drop it.
func (a *Attempt) Abandon() {
	a.mu.Lock()
	conn := a.conn
	already := a.done
	a.done = true
	a.mu.Unlock()
	if !already && conn != nil {
		conn.abandon(a)
	}
}

// CancelAttempt tells an engine that an attempt is no longer needed and its KV can be dropped. A
// failure is ignored.
func (c *Client) CancelAttempt(address string, id chicoryhall.RequestID, attempt int) {
	path := fmt.Sprintf("/v1/streams/%s?attempt=%d", url.PathEscape(string(id)), attempt)
	request := appendRequest(nil, "DELETE", path, address, nil)
	c.send(exchange{address: address, operation: "cancel stream", request: request, receiver: discardingReceiver{}})
}

func (a *Attempt) onSending(conn *connection) bool {
	a.mu.Lock()
	a.conn = conn
	done := a.done
	a.mu.Unlock()
	return !done && a.handler.OnSending()
}

func (a *Attempt) onStatus(code int) { a.status = code }

func (a *Attempt) onBody(piece []byte) error {
	if a.status != statusOK {
		return nil
	}
	events, err := a.lines.decode(a.events[:0], piece)
	a.events = events
	if len(events) > 0 && !a.isDone() {
		a.sawLastEvent = isLastEvent(events[len(events)-1].Kind)
		a.handler.OnEvents(events)
	}
	if err != nil {
		a.fail(&Error{kind: FailureMalformed, sent: true, cause: err})
	}
	return err
}

func (a *Attempt) onComplete() {
	switch {
	case a.sawLastEvent:
	case a.status != statusOK:
		a.fail(&Error{kind: FailureStatus, sent: true, status: a.status, cause: fmt.Errorf("status %d", a.status)})
	default:
		a.fail(&Error{kind: FailureBroken, sent: true, cause: errNoLastEvent})
	}
}

func (a *Attempt) onFailure(failure *Error) {
	if !a.sawLastEvent {
		a.fail(failure)
	}
}

// fail reports the end of the attempt, at most once.
func (a *Attempt) fail(failure *Error) {
	a.mu.Lock()
	done := a.done
	a.done = true
	a.mu.Unlock()
	if done {
		return
	}
	failure.operation, failure.address = a.operation(), a.address
	a.handler.OnFailure(failure)
}

func (a *Attempt) isDone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// isLastEvent reports whether events of a kind end their attempt.
func isLastEvent(kind EventKind) bool {
	return kind == EventDone || kind == EventRefused || kind == EventStageFailed
}

// discardingReceiver is the receiver of an exchange whose answer does not matter.
type discardingReceiver struct{}

func (discardingReceiver) onSending(*connection) bool { return true }
func (discardingReceiver) onStatus(int)               {}
func (discardingReceiver) onBody([]byte) error        { return nil }
func (discardingReceiver) onComplete()                {}
func (discardingReceiver) onFailure(*Error)           {}
