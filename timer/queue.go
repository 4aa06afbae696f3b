package timer

import (
	"container/heap"
	"sync/atomic"
	"time"
)

// subscription is a single or periodic call to be made at its due time.
type subscription struct {
	due       time.Time
	period    time.Duration // 0 for a single call
	call      func(now time.Time)
	sequence  uint64 // order of creation
	cancelled atomic.Bool
}

// Cancel prevents further calls. Of a Service, it may be called concurrently, and a call that is already due may then
// still be made.
func (s *subscription) Cancel() {
	s.cancelled.Store(true)
}

// queue is a heap of subscriptions, ordered by due time and then by creation.
type queue []*subscription

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(*subscription)) }

func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*q = old[:last]
	return item
}

// popDue removes and returns the first subscription that is due at or before now, or returns nil. It removes cancelled
// subscriptions at the head of the queue.
func (q *queue) popDue(now time.Time) *subscription {
	for len(*q) > 0 {
		first := (*q)[0]
		if first.cancelled.Load() {
			heap.Pop(q)
			continue
		}
		if first.due.After(now) {
			return nil
		}
		heap.Pop(q)
		return first
	}
	return nil
}
