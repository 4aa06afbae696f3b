package faultproxy

import (
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
)

// shaper implements relay.Shaper: it applies a link's faults to one pair of connections.
type shaper struct {
	link *Link
	// bytesFromTarget counts the bytes received from the target.
	bytesFromTarget int64
}

// Shape applies the faults to a piece of data: Blackhole discards it, and otherwise it is delayed by DelayMillis and
// the limited bandwidth, counted, and cut off where CutAnswerAfter is reached.
func (s *shaper) Shape(direction relay.Direction, size int, now time.Time) relay.Decision {
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Blackhole {
		return relay.Decision{Discard: true}
	}
	decision := relay.RelayAll
	decision.Delay = time.Duration(l.faults.DelayMillis)*time.Millisecond + l.queueingDelay(direction, size, now)
	if direction == relay.ToTarget {
		l.ledger.BytesTo += int64(size)
		return decision
	}
	l.ledger.BytesFrom += int64(size)
	if limit := l.faults.CutAnswerAfter; limit > 0 && s.bytesFromTarget+int64(size) >= limit {
		decision.CloseAfter = int(max(0, limit-s.bytesFromTarget))
	}
	s.bytesFromTarget += int64(size)
	return decision
}

// queueingDelay returns how long a piece is delayed by the limited bandwidth of its direction: until the pieces before
// it and the piece itself have passed. The caller holds mu.
func (l *Link) queueingDelay(direction relay.Direction, size int, now time.Time) time.Duration {
	if l.faults.BytesPerSecond <= 0 {
		return 0
	}
	start := l.freeAt[direction]
	if start.Before(now) {
		start = now
	}
	l.freeAt[direction] = start.Add(time.Duration(int64(size) * int64(time.Second) / l.faults.BytesPerSecond))
	return l.freeAt[direction].Sub(now)
}
