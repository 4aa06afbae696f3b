package mailbox

import "sync"

// Box handles messages one at a time, on the goroutine whose call of Post found no other message being handled.
type Box[M any] struct {
	handle func(M)
	// retain returns a copy of a message that stays valid after Post has returned.
	retain func(M) M

	mu       sync.Mutex
	waiting  []M
	handling bool
}

// New returns a Box that passes messages to handle. It calls retain for each message that has to wait, as the message
// may refer to memory that is valid only during the call of Post.
func New[M any](handle func(M), retain func(M) M) *Box[M] {
	return &Box[M]{handle: handle, retain: retain}
}

// Post handles a message, and those posted meanwhile, before it returns. If another goroutine, or a caller further up
// the stack, is handling messages, Post only queues the message for it.
func (b *Box[M]) Post(message M) {
	b.mu.Lock()
	if b.handling {
		b.waiting = append(b.waiting, b.retain(message))
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
