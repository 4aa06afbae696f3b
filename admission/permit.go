package admission

import (
	"sync/atomic"
	"time"
)

// permit is one place of a service.
type permit struct {
	admission *Admission
	service   *service
	class     *class
	started   time.Time
	expected  time.Duration
	released  atomic.Bool
}

// Release gives the place back.
func (p *permit) Release() {
	if p.released.Swap(true) {
		return
	}
	run(p.release())
}

func (p *permit) release() []action {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.timer.Now()
	p.service.ended(p.class, now.Sub(p.started), p.expected)
	return a.dispatch(p.service, now)
}
