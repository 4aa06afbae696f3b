package mailbox

import "sync"

// MaxQueued is the size of the messages of PostLimited that may wait in a Box before another one has to wait for room, in bytes.
const MaxQueued = 256 << 10

// Box handles messages one at a time. They are handled inside Post: the first caller handles its message and all
// messages that others post meanwhile, in the order in which they are posted.
type Box[M any] struct {
	handle func(M)
	// clone copies a message. The copy, unlike the message, is valid after Post has returned.
	clone func(M) M

	mu       sync.Mutex
	waiting  []sized[M]
	handling bool
	// queued is the size of the waiting messages. hasRoom is signalled when it falls.
	queued  int
	hasRoom sync.Cond
}

// sized is a message with its size in bytes, which is 0 if it does not count.
type sized[M any] struct {
	message M
	size    int
}

// New returns a Box that passes messages to handle. A message may refer to memory that is valid only during the call of
// Post, so clone is called to copy messages that have to wait. As a lock is held during that, clone must not call Post.
func New[M any](handle func(M), clone func(M) M) *Box[M] {
	b := &Box[M]{handle: handle, clone: clone}
	b.hasRoom.L = &b.mu
	return b
}

// Post handles a message or, if a message is being handled, queues it. The call of Post that handles messages returns
// only when the queue is empty. The handler may call Post, which then queues the message.
func (b *Box[M]) Post(message M) {
	b.mu.Lock()
	b.post(sized[M]{message: message})
}

// PostLimited is Post for a message of a size in bytes. It waits while more than MaxQueued is queued, so it must neither be called
// by the handler nor with a lock held that the handler needs.
func (b *Box[M]) PostLimited(message M, size int) {
	b.mu.Lock()
	for b.queued > MaxQueued {
		b.hasRoom.Wait()
	}
	b.post(sized[M]{message: message, size: size})
}

// post is Post. It releases b.mu, which the caller holds.
func (b *Box[M]) post(posted sized[M]) {
	if b.handling {
		posted.message = b.clone(posted.message)
		b.waiting = append(b.waiting, posted)
		b.queued += posted.size
		b.mu.Unlock()
		return
	}
	b.handling = true
	b.mu.Unlock()
	b.handle(posted.message)
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
		for i := range batch {
			b.handleQueued(&batch[i])
		}
	}
}

// handleQueued handles a message that has waited, and makes room for others.
func (b *Box[M]) handleQueued(next *sized[M]) {
	b.handle(next.message)
	size := next.size
	*next = sized[M]{}
	if size == 0 {
		return
	}
	b.mu.Lock()
	b.queued -= size
	b.mu.Unlock()
	b.hasRoom.Broadcast()
}
