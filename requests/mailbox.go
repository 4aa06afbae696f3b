package requests

import (
	"slices"

	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/mailbox"
	"chicoryhall.example/chicoryhall/stream"
)

// message is something for a request to handle: an input, the events of an attempt or a function to
// call.
type message struct {
	input   *stream.Input
	attempt int
	events  []engine.Event
	run     func()
}

func (r *Request) newMailbox() *mailbox.Box[message] {
	return mailbox.New(r.handle, func(m message) message {
		m.events = slices.Clone(m.events)
		return m
	})
}

// post handles a message now, or leaves it to the goroutine that is handling messages of the
// request.
func (r *Request) post(m message) { r.mailbox.Post(m) }

func (r *Request) handle(m message) {
	switch {
	case m.run != nil:
		m.run()
	case m.input != nil:
		r.step(*m.input)
	default:
		r.stepEvents(m.attempt, m.events)
	}
}
