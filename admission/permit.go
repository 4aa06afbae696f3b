package admission

import (
	"sync/atomic"
	"time"
)

// permit is the right to run one request of a service.
type permit struct {
	controller     *Controller
	service        *service
	class          *class
	startedAt      time.Time
	statedDuration time.Duration
	released       atomic.Bool
}

// Release returns the permit and starts waiting requests. Further calls have no effect.
func (p *permit) Release() {
	if p.released.Swap(true) {
		return
	}
	runAll(p.release())
}

func (p *permit) release() []callback {
	c := p.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.timer.Now()
	p.service.removeRunning(p.class, now.Sub(p.startedAt), p.statedDuration)
	return c.dispatch(p.service, now)
}
