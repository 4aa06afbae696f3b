package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall/engine"
)

// reserved returns the positions that a running stream may come to hold.
func reserved(start *engine.StreamRequest) int {
	return len(start.Prompt) + max(start.MaxTokens, len(start.Delivered))
}

// full reports whether the running streams leave no room for another one.
func (e *Engine) full(start *engine.StreamRequest) bool {
	running, positions := e.runningPositions()
	return running >= e.settings.Queue || positions+reserved(start) > e.settings.KVCapacity
}

func (e *Engine) runningPositions() (running, positions int) {
	for _, state := range e.states {
		if state.active {
			running++
			positions += reserved(state.start)
		}
	}
	return running, positions
}

// makeRoom evicts the states that were used longest ago until the memory suffices.
func (e *Engine) makeRoom() {
	_, used := e.runningPositions()
	for _, state := range e.states {
		if !state.active {
			used += state.have()
		}
	}
	for used > e.settings.KVCapacity {
		oldest := e.oldestIdle()
		if oldest == nil {
			return
		}
		used -= oldest.have()
		e.evict(oldest)
	}
}

func (e *Engine) oldestIdle() *stageState {
	var oldest *stageState
	for _, state := range e.states {
		if !state.active && (oldest == nil || state.touched.Before(oldest.touched)) {
			oldest = state
		}
	}
	return oldest
}

func (e *Engine) evict(state *stageState) {
	delete(e.states, state.key)
	e.cache.remove(state, e.timer.Now(), e.lose)
}

// expire ends the streams whose deadline has long passed.
func (e *Engine) expire() {
	now := e.timer.Now()
	for _, state := range e.states {
		if state.active && state.start.TimeoutMillis > 0 && now.After(state.until) {
			e.expireState(state)
		}
	}
}

func (e *Engine) expireState(state *stageState) {
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		e.endDriver(d, nil)
		return
	}
	e.stop(state)
}

// used returns the positions held by all states.
func (e *Engine) used() int64 {
	total := 0
	for _, state := range e.states {
		total += state.have()
	}
	return int64(total)
}

// millis returns a time as Unix milliseconds.
func millis(t time.Time) int64 { return t.UnixMilli() }
