package requests

import (
	"slices"
	"sync"

	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/stream"
)

// message is one thing for a request to handle: an input, events or a call.
type message struct {
	input   *stream.Input
	attempt int
	events  []engine.Event
	call    func()
}

// mailbox handles messages one after another on the goroutine that brought the first of them.
type mailbox struct {
	mu       sync.Mutex
	waiting  []message
	handling bool
}

// post handles a message now, or leaves it to the goroutine that is handling others.
func (r *Request) post(m message) {
	box := &r.mailbox
	box.mu.Lock()
	if box.handling {
		// The events are valid during the call only.
		m.events = slices.Clone(m.events)
		box.waiting = append(box.waiting, m)
		box.mu.Unlock()
		return
	}
	box.handling = true
	box.mu.Unlock()
	r.handle(m)
	for {
		box.mu.Lock()
		batch := box.waiting
		box.waiting = nil
		if len(batch) == 0 {
			box.handling = false
			box.mu.Unlock()
			return
		}
		box.mu.Unlock()
		for _, next := range batch {
			r.handle(next)
		}
	}
}

func (r *Request) handle(m message) {
	switch {
	case m.call != nil:
		m.call()
	case m.input != nil:
		r.step(*m.input)
	default:
		r.stepEvents(m.attempt, m.events)
	}
}
