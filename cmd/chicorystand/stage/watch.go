package stage

import "time"

// checkConns pings all dialed connections and tries to replace those that are silent.
func (n *ConnPool) checkConns(now time.Time) {
	n.mu.Lock()
	if n.frozen {
		n.mu.Unlock()
		return
	}
	conns := make([]*Conn, 0, len(n.dialed))
	for _, c := range n.dialed {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		n.checkConn(c, now)
	}
}

func (n *ConnPool) checkConn(c *Conn, now time.Time) {
	c.mu.Lock()
	wasPaused := !c.lastPing.IsZero() && now.Sub(c.lastPing) > 2*pingPeriod
	if wasPaused {
		c.lastReceived = now // this process did not run, so the silence says nothing about the peer
	}
	c.lastPing = now
	silence := now.Sub(c.lastReceived)
	replacement := c.replacement
	c.mu.Unlock()
	c.Send(&Message{Ping: true})
	switch {
	case replacement == nil && silence > silenceLimit:
		n.dialReplacement(c)
	case replacement != nil:
		n.checkReplacement(c, replacement, now)
	}
}

func (n *ConnPool) dialReplacement(c *Conn) {
	replacement := n.dial(c.address, c)
	replacement.Send(&Message{Ping: true})
	c.mu.Lock()
	c.replacement = replacement
	c.mu.Unlock()
}

// checkReplacement replaces the old connection once the new one has answered. It closes the new one if the old one has
// recovered or the new one does not answer either.
func (n *ConnPool) checkReplacement(c, replacement *Conn, now time.Time) {
	replacement.mu.Lock()
	answers := replacement.upgraded
	late := now.Sub(replacement.lastReceived) > 2*silenceLimit
	replacement.mu.Unlock()
	c.mu.Lock()
	recovered := now.Sub(c.lastReceived) < silenceLimit
	c.mu.Unlock()
	switch {
	case recovered:
		replacement.Close()
	case answers:
		n.replace(c, replacement)
	case late:
		replacement.Close()
	}
}

func (n *ConnPool) replace(c, replacement *Conn) {
	n.mu.Lock()
	n.dialed[c.address] = replacement
	n.mu.Unlock()
	replacement.mu.Lock()
	replacement.replaces = nil
	replacement.mu.Unlock()
	c.Close()
	n.ConnClosed(c)
}

// replacementFailed removes a replacement that has been closed. If it could not be established, the old connection is
// closed too.
func (n *ConnPool) replacementFailed(replacement *Conn) {
	old := replacement.replaces
	old.mu.Lock()
	old.replacement = nil
	old.mu.Unlock()
	if replacement.inner == nil {
		old.Close()
		n.ConnClosed(old)
	}
}
