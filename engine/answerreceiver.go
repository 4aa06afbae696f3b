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
func (a *answerReceiver) giveUp() (sent, ended bool) {
	a.mu.Lock()
	a.givenUp = true
	sent, ended = a.sent, a.ended
	conn := a.conn
	a.mu.Unlock()
	if !ended && conn != nil {
		conn.abandon(a)
	}
	return sent, ended
}

func (a *answerReceiver) onSending(conn *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = conn
	a.sent = !a.givenUp
	return a.sent
}

func (a *answerReceiver) onStatus(code int) { a.status = code }

func (a *answerReceiver) onBody(piece []byte) error {
	if len(a.body)+len(piece) > maxAnswerBytes {
		return errLongAnswer
	}
	a.body = append(a.body, piece...)
	return nil
}

func (a *answerReceiver) onComplete() { a.end(nil) }

func (a *answerReceiver) onFailure(failure *Error) { a.end(failure) }

func (a *answerReceiver) end(failure *Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.givenUp {
		return
	}
	a.ended = true
	a.failure = failure
	close(a.done)
}
