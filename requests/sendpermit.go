package requests

import "sync"

// sendPermit decides whether an attempt is sent. Its connection takes the permit right before the first byte, on a goroutine of its
// own. The request holds it while the machine decides, so that no attempt is sent between a decision that relies on this and what
// follows from it.
type sendPermit struct {
	mu sync.Mutex
	// taken is set once bytes of the attempt may have been sent, and known once the machine has been told so.
	taken, known bool
	// revoked is set once the attempt must not be sent any more.
	revoked bool
}

// take reports whether the attempt may be sent, and records that it is.
func (p *sendPermit) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = p.taken || !p.revoked
	return p.taken
}

// learn reports whether the machine has yet to be told that the attempt is sent. The caller holds the permit.
func (p *sendPermit) learn() bool {
	isNews := p.taken && !p.known
	p.known = p.taken
	return isNews
}
