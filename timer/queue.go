package timer

import "container/heap"

// queue is a heap of subscriptions, ordered by due time and then by creation. Each subscription knows its index.
type queue []*subscription

// notQueued is the index of a subscription that is in no queue.
const notQueued = -1

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].due.Equal(q[j].due) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].due.Before(q[j].due)
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue) Push(x any) {
	item := x.(*subscription)
	item.index = len(*q)
	*q = append(*q, item)
}

func (q *queue) Pop() any {
	old := *q
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*q = old[:last]
	item.index = notQueued
	return item
}

// remove removes a subscription that may be in the queue.
func (q *queue) remove(item *subscription) {
	if item.index != notQueued {
		heap.Remove(q, item.index)
	}
}
