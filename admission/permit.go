package admission

import (
	"sync/atomic"
	"time"
)

// permit is one place of a service.
type permit struct {
	admission        *Controller
	service          *service
	class            *class
	startedAt        time.Time
	expectedDuration time.Duration
	released         atomic.Bool
}

// Release gives the place back.
func (p *permit) Release() {
	if p.released.Swap(true) {
		return
	}
	runAll(p.release())
}

func (p *permit) release() []callback {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.timer.Now()
	p.service.finished(p.class, now.Sub(p.startedAt), p.expectedDuration)
	return a.dispatch(p.service, now)
}
