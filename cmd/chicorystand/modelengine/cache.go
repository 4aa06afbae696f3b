package modelengine

import (
	"time"

	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/engine"
)

// blockKey identifies the KV of a prefix of tokens for one range of layers.
type blockKey struct {
	prefix   uint64
	from, to int
}

// cache indexes states by the prompt prefixes whose KV they hold, and records the cache events.
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

// adopt gives a new state the KV of the longest cached prefix of its tokens, up to limit.
func (c *cache) adopt(state *stageState, limit int) {
	prefixes := engine.PrefixHashes(state.model, allTokens(state.start)[:limit])
	for block := len(prefixes) - 1; block >= 0; block-- {
		key := blockKey{prefix: prefixes[block], from: state.hop.From, to: state.hop.To}
		holder := c.index[key]
		if holder != nil && state.adopt(holder, (block+1)*engine.PrefixBlockTokens) {
			return
		}
	}
}

// register adds the prefixes of a state's prompt to the index once the state holds them all.
func (c *cache) register(state *stageState, now time.Time, lose func() bool) {
	if state.blocks != nil || state.heldPositions() < len(state.start.Prompt) {
		return
	}
	state.blocks = engine.PrefixHashes(state.model, state.start.Prompt)
	for _, prefix := range state.blocks {
		key := blockKey{prefix: prefix, from: state.hop.From, to: state.hop.To}
		if c.index[key] == nil {
			c.add(prefix, true, now, lose)
		}
		c.index[key] = state
	}
}

// remove removes a state from the index and records an event for each prefix that the index then no longer has. Another
// state may still hold the KV of such a prefix without being in the index.
func (c *cache) remove(state *stageState, now time.Time, lose func() bool) {
	for _, prefix := range state.blocks {
		key := blockKey{prefix: prefix, from: state.hop.From, to: state.hop.To}
		if c.index[key] == state {
			delete(c.index, key)
			c.add(prefix, false, now, lose)
		}
	}
	state.blocks = nil
}

// add records an event. If lose returns true, the event is dropped, which leaves a gap in the sequence numbers.
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

// since returns the events after a sequence number that happened at or before until.
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

// allTokens returns the tokens of the prompt and those of the answer so far.
func allTokens(start *engine.StreamRequest) []digest.Token {
	return append(append([]digest.Token{}, start.Prompt...), start.Tokens...)
}

// loseCacheEvent decides randomly whether a cache event is never published.
func (e *Engine) loseCacheEvent() bool {
	return e.random.IntN(100) < e.settings.CacheLossPercent
}
