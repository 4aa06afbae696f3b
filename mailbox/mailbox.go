package mailbox

import "sync"

// Box handles messages one after another on the goroutine that brought the first of them.
type Box[M any] struct {
	handle func(M)
	// keep makes a message valid beyond the call that brought it.
	keep func(M) M

	mu       sync.Mutex
	waiting  []M
	handling bool
}

// New returns a Box; keep is called for messages that wait, as what they refer to may be valid
// during the call of Post only.
func New[M any](handle func(M), keep func(M) M) *Box[M] {
	return &Box[M]{handle: handle, keep: keep}
}

// Post handles a message now, or leaves it to the goroutine that is handling others.
func (b *Box[M]) Post(message M) {
	b.mu.Lock()
	if b.handling {
		b.waiting = append(b.waiting, b.keep(message))
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
