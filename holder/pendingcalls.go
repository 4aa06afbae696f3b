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

func (p *pendingCalls) awaitAccept(id chicoryhall.RequestID, answer chan<- error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepts[id] = answer
}

func (p *pendingCalls) awaitRaise(id chicoryhall.RequestID, answer chan<- error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raises[id] = answer
}

func (p *pendingCalls) awaitRelease(id chicoryhall.RequestID, end int, release func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releases[id] = append(p.releases[id], pendingRelease{end: end, release: release})
}

// completeAccept ends the call of Accept. The channel has room for the one answer, so that sending does
// not block.
func (p *pendingCalls) completeAccept(a Accepted) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, ok := p.accepts[a.ID]; ok {
		answer <- a.Err
		delete(p.accepts, a.ID)
	}
}

func (p *pendingCalls) completeRaise(a AttemptRaised) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answer, ok := p.raises[a.ID]; ok {
		answer <- a.Err
		delete(p.raises, a.ID)
	}
}

// completeReleases calls the release functions that are due, in order.
func (p *pendingCalls) completeReleases(a TokensReleased) {
	p.mu.Lock()
	var due []pendingRelease
	queue := p.releases[a.ID]
	for len(queue) > 0 && (a.Err != nil || queue[0].end <= a.End) {
		due = append(due, queue[0])
		queue = queue[1:]
	}
	p.releases[a.ID] = queue
	if len(queue) == 0 {
		delete(p.releases, a.ID)
	}
	p.mu.Unlock()
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

func newActionQueue(execute func(Action)) *actionQueue {
	return &actionQueue{execute: execute}
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
