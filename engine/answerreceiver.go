package engine

import (
	"sync"

	"github.com/pkg/errors"
)

// maxAnswerBytes limits the size of an answer.
const maxAnswerBytes = 64 << 20

var errLongAnswer = errors.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// answerReceiver is a receiver that collects the complete answer for a goroutine that waits for it.
type answerReceiver struct {
	done    chan struct{}
	status  int
	body    []byte
	failure *Error

	mu      sync.Mutex
	ended   bool
	givenUp bool
	sent    bool
	conn    *connection
}

func newAnswerReceiver() *answerReceiver {
	return &answerReceiver{done: make(chan struct{})}
}

// giveUp stops waiting. It reports whether bytes of the request may have been sent, and whether the
// answer has ended already.
func (w *answerReceiver) giveUp() (sent, ended bool) {
	w.mu.Lock()
	w.givenUp = true
	sent, ended = w.sent, w.ended
	conn := w.conn
	w.mu.Unlock()
	if !ended && conn != nil {
		conn.abandon(w)
	}
	return sent, ended
}

func (w *answerReceiver) onSending(conn *connection) {
	w.mu.Lock()
	w.conn = conn
	givenUp := w.givenUp
	w.sent = !givenUp
	w.mu.Unlock()
	if givenUp {
		conn.abandon(w)
	}
}

func (w *answerReceiver) onStatus(code int) { w.status = code }

func (w *answerReceiver) onBody(piece []byte) error {
	if len(w.body)+len(piece) > maxAnswerBytes {
		return errLongAnswer
	}
	w.body = append(w.body, piece...)
	return nil
}

func (w *answerReceiver) onComplete() { w.end(nil) }

func (w *answerReceiver) onFailure(failure *Error) { w.end(failure) }

func (w *answerReceiver) end(failure *Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.givenUp {
		return
	}
	w.ended = true
	w.failure = failure
	close(w.done)
}
