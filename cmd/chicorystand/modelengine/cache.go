package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// blockKey names a cached prefix of one range of layers.
type blockKey struct {
	prefix   uint64
	from, to int
}

// cache finds the states that hold the KV of a prompt's prefix and keeps the cache events.
type cache struct {
	index    map[blockKey]*stageState
	sequence int64
	events   []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newCache() cache {
	return cache{index: map[blockKey]*stageState{}}
}

// adopt gives a new state the longest cached prefix of its tokens, at most most positions.
func (c *cache) adopt(state *stageState, most int) {
	names := engine.PrefixHashes(state.model, allTokens(state.start)[:most])
	for block := len(names) - 1; block >= 0; block-- {
		key := blockKey{prefix: names[block], from: state.hop.From, to: state.hop.To}
		holder := c.index[key]
		if holder != nil && state.adopt(holder, (block+1)*engine.PrefixBlockTokens) {
			return
		}
	}
}

// register enters the prompt's blocks once the state holds them all.
func (c *cache) register(state *stageState, now time.Time, lose func() bool) {
	if state.blocks != nil || state.have() < len(state.start.Prompt) {
		return
	}
	state.blocks = engine.PrefixHashes(state.model, state.start.Prompt)
	for _, name := range state.blocks {
		key := blockKey{prefix: name, from: state.hop.From, to: state.hop.To}
		if c.index[key] == nil {
			c.add(name, true, now, lose)
		}
		c.index[key] = state
	}
}

// remove forgets a state and tells of the prefixes that no other state holds.
func (c *cache) remove(state *stageState, now time.Time, lose func() bool) {
	for _, name := range state.blocks {
		key := blockKey{prefix: name, from: state.hop.From, to: state.hop.To}
		if c.index[key] == state {
			delete(c.index, key)
			c.add(name, false, now, lose)
		}
	}
	state.blocks = nil
}

// add numbers an event; a lost one leaves a gap in the numbers.
func (c *cache) add(prefix uint64, stored bool, now time.Time, lose func() bool) {
	c.sequence++
	if lose() {
		return
	}
	event := engine.CacheEvent{Sequence: c.sequence, Prefix: prefix, Stored: stored}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the published events behind a number.
func (c *cache) since(after int64, until time.Time) engine.CacheEvents {
	answer := engine.CacheEvents{First: after + 1, Events: []engine.CacheEvent{}}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(until) {
			answer.Events = append(answer.Events, event.CacheEvent)
		}
	}
	if len(answer.Events) > 0 {
		answer.First = answer.Events[0].Sequence
	}
	return answer
}

func allTokens(start *engine.StreamRequest) []digest.Token {
	return append(append([]digest.Token{}, start.Prompt...), start.Delivered...)
}

// lose draws whether a cache event is never published.
func (e *Engine) lose() bool {
	return e.random.IntN(100) < e.settings.CacheLossPercent
}
