package engine

import (
	"sync"

	"github.com/pkg/errors"
)

// maxAnswer bounds a whole answer in bytes.
const maxAnswer = 64 << 20

var errLongAnswer = errors.Errorf("the answer is longer than %d bytes", maxAnswer)

// waiter is a receiver that keeps the whole answer for a goroutine that waits.
type waiter struct {
	done    chan struct{}
	status  int
	body    []byte
	failure *Error

	mu       sync.Mutex
	ended    bool
	givenUp  bool
	isSent   bool
	attached *connection
}

func newWaiter() *waiter {
	return &waiter{done: make(chan struct{})}
}

// giveUp stops waiting; it reports whether bytes may have been sent and whether the answer has ended.
func (w *waiter) giveUp() (sent, ended bool) {
	w.mu.Lock()
	w.givenUp = true
	sent, ended = w.isSent, w.ended
	conn := w.attached
	w.mu.Unlock()
	if !ended && conn != nil {
		conn.abandon(w)
	}
	return sent, ended
}

func (w *waiter) onSending(conn *connection) {
	w.mu.Lock()
	w.attached = conn
	givenUp := w.givenUp
	w.isSent = !givenUp
	w.mu.Unlock()
	if givenUp {
		conn.abandon(w)
	}
}

func (w *waiter) onStatus(code int) { w.status = code }

func (w *waiter) onBody(piece []byte) error {
	if len(w.body)+len(piece) > maxAnswer {
		return errLongAnswer
	}
	w.body = append(w.body, piece...)
	return nil
}

func (w *waiter) onWhole() { w.end(nil) }

func (w *waiter) onFailure(failure *Error) { w.end(failure) }

func (w *waiter) end(failure *Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.givenUp {
		return
	}
	w.ended = true
	w.failure = failure
	close(w.done)
}
