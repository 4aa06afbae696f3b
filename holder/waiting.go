package holder

import (
	"sync"

	"chicoryhall.example/chicoryhall"
)

// waiting holds what the Keeper's callers wait for.
type waiting struct {
	mu       sync.Mutex
	accepts  map[chicoryhall.RequestID]chan<- error
	raises   map[chicoryhall.RequestID]chan<- error
	releases map[chicoryhall.RequestID][]pendingRelease
}

// pendingRelease waits until the second holder has the tokens before end.
type pendingRelease struct {
	end     int
	release func(error)
}

func newWaiting() *waiting {
	return &waiting{
		accepts:  map[chicoryhall.RequestID]chan<- error{},
		raises:   map[chicoryhall.RequestID]chan<- error{},
		releases: map[chicoryhall.RequestID][]pendingRelease{},
	}
}

func (w *waiting) accept(id chicoryhall.RequestID, answer chan<- error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepts[id] = answer
}

func (w *waiting) raise(id chicoryhall.RequestID, answer chan<- error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.raises[id] = answer
}

func (w *waiting) release(id chicoryhall.RequestID, end int, release func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.releases[id] = append(w.releases[id], pendingRelease{end: end, release: release})
}

// accepted answers an Accept; each channel has room for its one answer.
func (w *waiting) accepted(a Accepted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.accepts[a.ID]; ok {
		answer <- a.Err
		delete(w.accepts, a.ID)
	}
}

func (w *waiting) raised(a AttemptRaised) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, ok := w.raises[a.ID]; ok {
		answer <- a.Err
		delete(w.raises, a.ID)
	}
}

// released calls the releases that are due, in order.
func (w *waiting) released(a TokensReleased) {
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

// actionQueue carries actions out one after another, on whichever goroutine came first.
type actionQueue struct {
	carryOut func(Action)
	mu       sync.Mutex
	queue    []Action
	running  bool
}

func newActionQueue(carryOut func(Action)) *actionQueue {
	return &actionQueue{carryOut: carryOut}
}

func (q *actionQueue) put(actions []Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, actions...)
}

// run carries out what is queued unless another call does so already.
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
		q.carryOut(next)
		q.mu.Lock()
	}
	q.running = false
}
