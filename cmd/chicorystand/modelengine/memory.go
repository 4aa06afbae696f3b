package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall/engine"
)

// maxPositions returns the maximum number of positions that a stream may hold.
func maxPositions(start *engine.StreamRequest) int {
	return len(start.Prompt) + max(start.MaxTokens, len(start.Tokens))
}

// isFull reports whether the running streams leave no capacity for another one.
func (e *Engine) isFull(start *engine.StreamRequest) bool {
	running, positions := e.runningPositions()
	return running >= e.settings.Queue || positions+maxPositions(start) > e.settings.KVCapacity
}

func (e *Engine) runningPositions() (running, positions int) {
	for _, state := range e.states {
		if state.active {
			running++
			positions += maxPositions(state.start)
		}
	}
	return running, positions
}

// evictIdle evicts the least recently used states of ended streams until the KV fits into the capacity.
func (e *Engine) evictIdle() {
	_, used := e.runningPositions()
	for _, state := range e.states {
		if !state.active {
			used += state.heldPositions()
		}
	}
	for used > e.settings.KVCapacity {
		oldest := e.oldestIdle()
		if oldest == nil {
			return
		}
		used -= oldest.heldPositions()
		e.evict(oldest)
	}
}

func (e *Engine) oldestIdle() *stageState {
	var oldest *stageState
	for _, state := range e.states {
		if !state.active && (oldest == nil || state.lastUsed.Before(oldest.lastUsed)) {
			oldest = state
		}
	}
	return oldest
}

func (e *Engine) evict(state *stageState) {
	delete(e.states, state.key)
	e.cache.remove(state, e.timer.Now(), e.loseCacheEvent)
}

// expire ends the streams that are still running expiryGrace after their deadline.
func (e *Engine) expire() {
	now := e.timer.Now()
	for _, state := range e.states {
		if state.active && state.start.TimeoutMillis > 0 && now.After(state.expiresAt) {
			e.expireState(state)
		}
	}
}

// expireState ends one stream, at the first engine together with its driver.
func (e *Engine) expireState(state *stageState) {
	if d := e.drivers[state.key.stream]; d != nil && d.state == state {
		e.endDriver(d, nil)
		return
	}
	e.stop(state)
}

// used returns the number of positions held by all states.
func (e *Engine) used() int64 {
	total := 0
	for _, state := range e.states {
		total += state.heldPositions()
	}
	return int64(total)
}

// millis returns a time in Unix milliseconds.
func millis(t time.Time) int64 { return t.UnixMilli() }
