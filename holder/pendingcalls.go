package holder

import (
	"sync"

	"chicoryhall.example/chicoryhall"
)

// pendingCalls are the calls of the Replicator's methods that wait for an action of the State.
type pendingCalls struct {
	mu       sync.Mutex
	accepts  map[chicoryhall.RequestID]chan<- error
	raises   map[chicoryhall.RequestID]chan<- error
	releases map[chicoryhall.RequestID][]pendingRelease
}

// pendingRelease is a release function to call once the backup has the tokens before end.
type pendingRelease struct {
	end     int
	release func(error)
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{
		accepts:  map[chicoryhall.RequestID]chan<- error{},
		raises:   map[chicoryhall.RequestID]chan<- error{},
		releases: map[chicoryhall.RequestID][]pendingRelease{},
	}
}

func (w *pendingCalls) accept(id chicoryhall.RequestID, answer chan<- error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepts[id] = answer
}

func (w *pendingCalls) raise(id chicoryhall.RequestID, answer chan<- error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.raises[id] = answer
}

func (w *pendingCalls) release(id chicoryhall.RequestID, end int, release func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releases[id] = append(w.releases[id], pendingRelease{end: end, release: release})
}

// accepted ends the call of Accept. The channel has room for the one answer, so that sending does
// not block.
func (w *pendingCalls) accepted(a Accepted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.accepts[a.ID]; ok {
		answer <- a.Err
		delete(w.accepts, a.ID)
	}
}

func (w *pendingCalls) raised(a AttemptRaised) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.raises[a.ID]; ok {
		answer <- a.Err
		delete(w.raises, a.ID)
	}
}

// released calls the release functions that are due, in order.
func (w *pendingCalls) released(a TokensReleased) {
	w.mu.Lock()
	var due []pendingRelease
	queue := w.releases[a.ID]
	for len(queue) > 0 && (a.Err != nil || queue[0].end <= a.End) {
		due = append(due, queue[0])
		queue = queue[1:]
	}
	w.releases[a.ID] = queue
	if len(queue) == 0 {
		delete(w.releases, a.ID)
	}
	w.mu.Unlock()
	for _, pending := range due {
		pending.release(a.Err)
	}
}

// actionQueue executes actions one after another, on the goroutine whose call of run comes first.
type actionQueue struct {
	execute func(Action)
	mu      sync.Mutex
	queue   []Action
	running bool
}

func newActionQueue(carryOut func(Action)) *actionQueue {
	return &actionQueue{execute: carryOut}
}

func (q *actionQueue) put(actions []Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, actions...)
}

// run executes the queued actions, unless another call is already doing so.
func (q *actionQueue) run() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running {
		return
	}
	q.running = true
	for len(q.queue) > 0 {
		next := q.queue[0]
		q.queue = q.queue[1:]
		q.mu.Unlock()
		q.execute(next)
		q.mu.Lock()
	}
	q.running = false
}
