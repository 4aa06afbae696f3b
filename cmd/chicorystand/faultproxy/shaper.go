package faultproxy

import (
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/relay"
)

// shaper implements relay.Shaper: it applies a link's faults to one pair of connections.
type shaper struct {
	link *Link
	// answered counts the bytes received from the target.
	answered int64
}

// Shape decides how a piece of data is relayed.
func (s *shaper) Shape(direction relay.Direction, bytes int, now time.Time) relay.Decision {
	l := s.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Blackhole {
		return relay.Decision{Discard: true}
	}
	verdict := relay.RelayAll
	verdict.Delay = time.Duration(l.faults.DelayMillis)*time.Millisecond + l.queueingDelay(direction, bytes, now)
	if direction == relay.ToTarget {
		l.ledger.BytesTo += int64(bytes)
		return verdict
	}
	l.ledger.BytesFrom += int64(bytes)
	if limit := l.faults.CutAnswerAfter; limit > 0 && s.answered+int64(bytes) >= limit {
		verdict.CloseAfter = int(max(0, limit-s.answered))
	}
	s.answered += int64(bytes)
	return verdict
}

// queueingDelay returns how long a piece is delayed by the limited bandwidth of its direction.
func (l *Link) queueingDelay(direction relay.Direction, bytes int, now time.Time) time.Duration {
	if l.faults.BytesPerSecond <= 0 {
		return 0
	}
	begin := l.freeAt[direction]
	if begin.Before(now) {
		begin = now
	}
	l.freeAt[direction] = begin.Add(time.Duration(int64(bytes) * int64(time.Second) / l.faults.BytesPerSecond))
	return l.freeAt[direction].Sub(now)
}
