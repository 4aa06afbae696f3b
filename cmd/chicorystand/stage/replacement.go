package stage

import "time"

// checkConns pings all dialed connections and tries to replace those on which nothing has been received for
// silenceLimit.
func (p *ConnPool) checkConns(now time.Time) {
	p.mu.Lock()
	if p.frozen {
		p.mu.Unlock()
		return
	}
	conns := make([]*Conn, 0, len(p.dialed))
	for _, c := range p.dialed {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		p.checkConn(c, now)
	}
}

// checkConn checks one dialed connection. The timer calls it every pingPeriod. A gap of two periods means that this
// process was paused itself.
func (p *ConnPool) checkConn(c *Conn, now time.Time) {
	c.mu.Lock()
	wasPaused := !c.lastPing.IsZero() && now.Sub(c.lastPing) > 2*pingPeriod
	if wasPaused {
		c.lastReceived = now // the time without received data says nothing about the peer
	}
	c.lastPing = now
	sinceReceived := now.Sub(c.lastReceived)
	replacement := c.replacement
	c.mu.Unlock()
	c.Send(&Message{Ping: true})
	switch {
	case replacement == nil && sinceReceived > silenceLimit:
		p.dialReplacement(c)
	case replacement != nil:
		p.checkReplacement(c, replacement, now)
	}
}

// dialReplacement dials a second connection to the same address and pings the peer on it. The ping waits until the
// upgrade is answered, which is what checkReplacement looks for.
func (p *ConnPool) dialReplacement(c *Conn) {
	replacement := p.dial(c.address, c)
	replacement.Send(&Message{Ping: true})
	c.mu.Lock()
	c.replacement = replacement
	c.mu.Unlock()
}

// checkReplacement replaces the old connection c once the upgrade of the replacement has been answered. It closes the
// replacement if data is received on the old one again, or if nothing has been received on the replacement for twice
// silenceLimit. A later check may then dial another one.
func (p *ConnPool) checkReplacement(c, replacement *Conn, now time.Time) {
	replacement.mu.Lock()
	upgraded := replacement.upgraded
	late := now.Sub(replacement.lastReceived) > 2*silenceLimit
	replacement.mu.Unlock()
	c.mu.Lock()
	recovered := now.Sub(c.lastReceived) < silenceLimit
	c.mu.Unlock()
	switch {
	case recovered:
		replacement.Close()
	case upgraded:
		p.replace(c, replacement)
	case late:
		replacement.Close()
	}
}

// replace makes the replacement the connection to the address. It closes the old connection c and reports its end by
// ConnClosed, as nbio does so only if c was established. If both report it, ConnClosed ignores the second report.
func (p *ConnPool) replace(c, replacement *Conn) {
	p.mu.Lock()
	p.dialed[c.address] = replacement
	p.mu.Unlock()
	replacement.mu.Lock()
	replacement.replaces = nil
	replacement.mu.Unlock()
	c.Close()
	p.ConnClosed(c)
}

// replacementClosed handles a replacement that was closed before it replaced the old connection: checkReplacement
// closed it, the peer did, or it could not be established. In the last case the old connection is closed too.
func (p *ConnPool) replacementClosed(replacement *Conn) {
	old := replacement.replaces
	old.mu.Lock()
	old.replacement = nil
	old.mu.Unlock()
	if replacement.inner == nil {
		old.Close()
		p.ConnClosed(old)
	}
}
