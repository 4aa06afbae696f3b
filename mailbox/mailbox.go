package mailbox

import "sync"

// Box handles messages one at a time. They are handled inside Post: the first caller handles its message and all
// messages that others post meanwhile, in the order in which they are posted.
type Box[M any] struct {
	handle func(M)
	// clone copies a message. The copy, unlike the message, is valid after Post has returned.
	clone func(M) M

	mu       sync.Mutex
	waiting  []M
	handling bool
}

// New returns a Box that passes messages to handle. A message may refer to memory that is valid only during the call of
// Post, so clone is called to copy messages that have to wait. As a lock is held during that, clone must not call Post.
func New[M any](handle func(M), clone func(M) M) *Box[M] {
	return &Box[M]{handle: handle, clone: clone}
}

// Post handles a message or, if a message is being handled, queues it. The call of Post that handles messages returns
// only when the queue is empty. The handler may call Post, which then queues the message.
func (b *Box[M]) Post(message M) {
	b.mu.Lock()
	if b.handling {
		b.waiting = append(b.waiting, b.clone(message))
		b.mu.Unlock()
		return
	}
	b.handling = true
	b.mu.Unlock()
	b.handle(message)
	for {
		b.mu.Lock()
		batch := b.waiting
		b.waiting = nil
		if len(batch) == 0 {
			b.handling = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		for _, next := range batch {
			b.handle(next)
		}
	}
}
