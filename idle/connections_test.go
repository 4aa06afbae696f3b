package idle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/idle"
)

// connection records whether it was closed.
type connection struct{ closed bool }

func (c *connection) CloseIdle() { c.closed = true }

const testMaxPerAddress = 2

var now = time.Unix(1000, 0)

func TestTakesNewestFirst(t *testing.T) {
	pool := idle.New[*connection](testMaxPerAddress)
	older, newer := &connection{}, &connection{}
	pool.Put("a", older, now)
	pool.Put("a", newer, now)
	for _, wanted := range []*connection{newer, older} {
		got, found := pool.Take("a", now)
		must.True(t, found)
		must.True(t, wanted == got)
		must.False(t, got.closed)
	}
	_, found := pool.Take("a", now)
	must.False(t, found)
}

// TestExpiredConnectionsAreClosed checks that Take closes an expired connection, and that it still returns an
// older one that expires later.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	pool := idle.New[*connection](testMaxPerAddress)
	longer, shorter := &connection{}, &connection{}
	pool.Put("a", longer, now.Add(time.Minute))
	pool.Put("a", shorter, now)
	got, found := pool.Take("a", now.Add(time.Second))
	must.True(t, shorter.closed)
	must.True(t, found)
	must.True(t, longer == got)
}

func TestPutCloseAndRemove(t *testing.T) {
	cases := []struct {
		name  string
		apply func(pool *idle.Connections[*connection], first *connection)
		// firstClosed and secondClosed tell whether the two connections to one address are closed at the end.
		firstClosed, secondClosed bool
		// left is the number of connections that can be taken afterwards.
		left int
	}{
		{"Put closes a connection above the limit", func(pool *idle.Connections[*connection], _ *connection) {
			third := &connection{}
			pool.Put("a", third, now)
			must.True(t, third.closed)
		}, false, false, 2},
		{"CloseAddress keeps those to another address", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseAddress("b") }, false, false, 2},
		{"CloseAddress closes those to the address", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseAddress("a") }, true, true, 0},
		{"Remove does not close", func(pool *idle.Connections[*connection], first *connection) { pool.Remove("a", first) }, false, false, 1},
		{"CloseExpired keeps unexpired ones", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseExpired(now) }, false, false, 2},
		{"CloseExpired closes expired ones", func(pool *idle.Connections[*connection], _ *connection) {
			pool.CloseExpired(now.Add(time.Second))
		}, true, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := idle.New[*connection](testMaxPerAddress)
			first, second := &connection{}, &connection{}
			pool.Put("a", first, now)
			pool.Put("a", second, now.Add(time.Minute))
			c.apply(pool, first)
			must.Eq(t, c.firstClosed, first.closed)
			must.Eq(t, c.secondClosed, second.closed)
			left := 0
			for _, found := pool.Take("a", now); found; _, found = pool.Take("a", now) {
				left++
			}
			must.Eq(t, c.left, left)
		})
	}
}
