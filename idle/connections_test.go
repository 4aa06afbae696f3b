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

var start = time.Unix(1000, 0)

func TestTakesNewestFirst(t *testing.T) {
	pool := idle.New[*connection](testMaxPerAddress)
	older, newer := &connection{}, &connection{}
	pool.Put("a", older, start)
	pool.Put("a", newer, start)
	for _, wanted := range []*connection{newer, older} {
		got, found := pool.Take("a", start)
		must.True(t, found)
		must.True(t, wanted == got)
		must.False(t, got.closed)
	}
	_, found := pool.Take("a", start)
	must.False(t, found)
}

// TestExpiredConnectionsAreClosed checks that Take closes an expired connection, and that it still returns an
// older one that expires later.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	pool := idle.New[*connection](testMaxPerAddress)
	longer, shorter := &connection{}, &connection{}
	pool.Put("a", longer, start.Add(time.Minute))
	pool.Put("a", shorter, start)
	got, found := pool.Take("a", start.Add(time.Second))
	must.True(t, shorter.closed)
	must.True(t, found)
	must.True(t, longer == got)
}

func TestClosedConnections(t *testing.T) {
	cases := []struct {
		name  string
		apply func(pool *idle.Connections[*connection], first *connection)
		// first and second tell which of two connections to one address are closed at the end.
		first, second bool
		// left is the number of connections that can be taken afterwards.
		left int
	}{
		{"one too many", func(pool *idle.Connections[*connection], _ *connection) {
			third := &connection{}
			pool.Put("a", third, start)
			must.True(t, third.closed)
		}, false, false, 2},
		{"another address", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseAll("b") }, false, false, 2},
		{"a silent address", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseAll("a") }, true, true, 0},
		{"closed by the peer", func(pool *idle.Connections[*connection], first *connection) { pool.Remove("a", first) }, false, false, 1},
		{"at the time itself", func(pool *idle.Connections[*connection], _ *connection) { pool.CloseExpired(start) }, false, false, 2},
		{"the first has expired", func(pool *idle.Connections[*connection], _ *connection) {
			pool.CloseExpired(start.Add(time.Second))
		}, true, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := idle.New[*connection](testMaxPerAddress)
			first, second := &connection{}, &connection{}
			pool.Put("a", first, start)
			pool.Put("a", second, start.Add(time.Minute))
			c.apply(pool, first)
			must.Eq(t, c.first, first.closed)
			must.Eq(t, c.second, second.closed)
			left := 0
			for _, found := pool.Take("a", start); found; _, found = pool.Take("a", start) {
				left++
			}
			must.Eq(t, c.left, left)
		})
	}
}
