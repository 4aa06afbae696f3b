package stage

import "time"

// watch pings each dialled connection and tries a new one where an old one is silent.
func (n *Network) watch(now time.Time) {
	n.mu.Lock()
	if n.frozen {
		n.mu.Unlock()
		return
	}
	conns := make([]*Conn, 0, len(n.dialled))
	for _, c := range n.dialled {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		n.watchOne(c, now)
	}
}

func (n *Network) watchOne(c *Conn, now time.Time) {
	c.mu.Lock()
	lateTick := !c.pinged.IsZero() && now.Sub(c.pinged) > 2*pingPeriod
	if lateTick {
		c.heard = now // this process was paused, not the peer
	}
	c.pinged = now
	quiet := now.Sub(c.heard)
	trial := c.trial
	c.mu.Unlock()
	c.Send(&Message{Ping: true})
	switch {
	case trial == nil && quiet > silenceLimit:
		n.startTrial(c)
	case trial != nil:
		n.judgeTrial(c, trial, now)
	}
}

func (n *Network) startTrial(c *Conn) {
	trial := n.dial(c.address, c)
	trial.Send(&Message{Ping: true})
	c.mu.Lock()
	c.trial = trial
	c.mu.Unlock()
}

// judgeTrial replaces the old connection once the new one has answered.
func (n *Network) judgeTrial(c, trial *Conn, now time.Time) {
	trial.mu.Lock()
	answers := trial.upgraded
	late := now.Sub(trial.heard) > 2*silenceLimit
	trial.mu.Unlock()
	c.mu.Lock()
	recovered := now.Sub(c.heard) < silenceLimit
	c.mu.Unlock()
	switch {
	case recovered:
		trial.Close()
	case answers:
		n.replace(c, trial)
	case late:
		trial.Close()
	}
}

func (n *Network) replace(c, trial *Conn) {
	n.mu.Lock()
	n.dialled[c.address] = trial
	n.mu.Unlock()
	trial.mu.Lock()
	trial.replaces = nil
	trial.mu.Unlock()
	c.Close()
	n.Closed(c)
}

// endTrial forgets a trial that failed; a refused one ends the old connection too.
func (n *Network) endTrial(trial *Conn) {
	old := trial.replaces
	old.mu.Lock()
	old.trial = nil
	old.mu.Unlock()
	if trial.inner == nil {
		old.Close()
		n.Closed(old)
	}
}
