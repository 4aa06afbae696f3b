package mailbox_test

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/mailbox"
)

// held returns a box whose handler waits until release is called, and what it has handled.
func held(t *testing.T) (box *mailbox.Box[int], release func(), handled func() []int) {
	t.Helper()
	var (
		mu   sync.Mutex
		all  []int
		gate = make(chan struct{})
	)
	box = mailbox.New(func(m int) {
		<-gate
		mu.Lock()
		defer mu.Unlock()
		all = append(all, m)
	}, func(m int) int { return m })
	release = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(release)
	return box, release, func() []int {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(all)
	}
}

// TestQueueOfLargeMessagesIsBounded guards against a queue that grows as long as its handler is slower than those that post.
func TestQueueOfLargeMessagesIsBounded(t *testing.T) {
	const messages, size = 100, mailbox.MaxQueued / 10
	box, release, handled := held(t)
	var posting sync.WaitGroup
	posting.Go(func() { box.Post(0) })
	var posted atomic.Int64
	posting.Go(func() {
		time.Sleep(10 * time.Millisecond) // The message above is being handled.
		for i := 1; i <= messages; i++ {
			box.PostLimited(i, size)
			posted.Add(1)
		}
	})
	time.Sleep(100 * time.Millisecond)
	must.Between(t, 10, posted.Load(), 11)
	box.Post(-1) // It has no size, so it never waits.
	release()
	posting.Wait()
	want := []int{0}
	for i := 1; i <= messages; i++ {
		want = append(want, i)
	}
	got := handled()
	must.Eq(t, want, slices.DeleteFunc(got, func(m int) bool { return m == -1 }))
}

// TestHandlerMayPost checks that a handler's messages are handled in their order, whatever their number.
func TestHandlerMayPost(t *testing.T) {
	var handled []int
	var box *mailbox.Box[int]
	box = mailbox.New(func(m int) {
		handled = append(handled, m)
		if m == 0 {
			for i := 1; i <= 3; i++ {
				box.Post(i)
			}
		}
	}, func(m int) int { return m })
	box.PostLimited(0, 2*mailbox.MaxQueued)
	must.Eq(t, []int{0, 1, 2, 3}, handled)
}
