package passthrough

import "sync"

// sendPermit decides whether the request of an attempt is sent. A connection asks for it on its own goroutine right before the
// first byte, while the exchange may be ending in the caller's mailbox. Whichever comes first decides, so that what the caller
// is told of an attempt that was not sent stays true.
type sendPermit struct {
	mu      sync.Mutex
	conn    *endpointConnection
	revoked bool
}

// take records that the request is sent on a connection from now on. It returns false if the permit has been revoked: no byte
// must be sent then.
func (p *sendPermit) take(conn *endpointConnection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revoked {
		return false
	}
	p.conn = conn
	return true
}

// revoke makes later calls of take fail. It returns the connection that the request may have been sent on, or nil if it was
// not sent and never will be.
func (p *sendPermit) revoke() *endpointConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revoked = true
	return p.conn
}

// connection returns the connection that the request may have been sent on, or nil.
func (p *sendPermit) connection() *endpointConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

// isTaken reports whether bytes of the request may have been sent.
func (p *sendPermit) isTaken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}
