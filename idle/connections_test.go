package idle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/idle"
)

// connection notes that it was closed.
type connection struct{ closed bool }

func (c *connection) CloseIdle() { c.closed = true }

const testMost = 2

var start = time.Unix(1000, 0)

func TestTakesTheNewestFirst(t *testing.T) {
	kept := idle.New[*connection](testMost)
	older, newer := &connection{}, &connection{}
	kept.Put("a", older, start)
	kept.Put("a", newer, start)
	for _, wanted := range []*connection{newer, older} {
		got, found := kept.Take("a", start)
		must.True(t, found)
		must.True(t, wanted == got)
		must.False(t, got.closed)
	}
	_, found := kept.Take("a", start)
	must.False(t, found)
}

// TestExpiredConnectionsAreClosed shows that none is left open unheld, and that an older one whose
// peer keeps it longer is still used.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	kept := idle.New[*connection](testMost)
	longer, shorter := &connection{}, &connection{}
	kept.Put("a", longer, start.Add(time.Minute))
	kept.Put("a", shorter, start)
	got, found := kept.Take("a", start.Add(time.Second))
	must.True(t, shorter.closed)
	must.True(t, found)
	must.True(t, longer == got)
}

func TestClosesWhatIsNotKept(t *testing.T) {
	cases := []struct {
		name string
		act  func(kept *idle.Connections[*connection], first *connection)
		// first and second tell which of two connections to one address end closed.
		first, second bool
		left          int
	}{
		{"one too many", func(kept *idle.Connections[*connection], _ *connection) {
			third := &connection{}
			kept.Put("a", third, start)
			must.True(t, third.closed)
		}, false, false, 2},
		{"another address", func(kept *idle.Connections[*connection], _ *connection) { kept.Forget("b") }, false, false, 2},
		{"a silent address", func(kept *idle.Connections[*connection], _ *connection) { kept.Forget("a") }, true, true, 0},
		{"closed by the peer", func(kept *idle.Connections[*connection], first *connection) { kept.Drop("a", first) }, false, false, 1},
		{"at the time itself", func(kept *idle.Connections[*connection], _ *connection) { kept.CloseExpired(start) }, false, false, 2},
		{"the first has expired", func(kept *idle.Connections[*connection], _ *connection) {
			kept.CloseExpired(start.Add(time.Second))
		}, true, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kept := idle.New[*connection](testMost)
			first, second := &connection{}, &connection{}
			kept.Put("a", first, start)
			kept.Put("a", second, start.Add(time.Minute))
			c.act(kept, first)
			must.Eq(t, c.first, first.closed)
			must.Eq(t, c.second, second.closed)
			left := 0
			for _, found := kept.Take("a", start); found; _, found = kept.Take("a", start) {
				left++
			}
			must.Eq(t, c.left, left)
		})
	}
}
