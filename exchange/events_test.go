package exchange_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"chicoryhall.example/chicoryhall/exchange"
)

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func eventTexts(from, to int) string {
	var text strings.Builder
	for id := from; id < to; id++ {
		text.WriteString(eventText(id))
	}
	return text.String()
}

// TestCutStreamsGoOnWithoutAGap cuts runs anywhere and resumes them behind the last whole event.
func TestCutStreamsGoOnWithoutAGap(t *testing.T) {
	const count = 12
	rapid.Check(t, func(t *rapid.T) {
		events := &exchange.Events{}
		var out []byte
		next := 1
		for next <= count {
			run := eventTexts(next, count+1)
			kept := rapid.IntRange(0, len(run)).Draw(t, "kept")
			rest := run[:kept]
			for rest != "" {
				n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
				var err error
				out, err = events.Feed(out, []byte(rest[:n]))
				must.NoError(t, err)
				rest = rest[n:]
			}
			if events.Last() != "" {
				_, err := fmt.Sscan(events.Last(), &next)
				must.NoError(t, err)
				next++
			}
			events.Resume()
			must.True(t, events.IsBetween())
		}
		must.Eq(t, eventTexts(1, count+1), string(out))
	})
}

func TestEventsThatBreakTheOrder(t *testing.T) {
	cases := []struct {
		name    string
		after   string
		first   string
		resumed string
		want    string
		fails   bool
	}{
		{"an event twice", "", eventText(1) + eventText(1), "", eventText(1), true},
		{"an event that goes back", "", eventText(2) + eventText(1), "", eventText(2), true},
		{"a resumed run with a gap", "", eventText(1), eventText(3), eventText(1), true},
		{"a resumed run that begins anew", "", eventTexts(1, 3), eventTexts(1, 5), eventTexts(1, 5), false},
		{"a resumed run that goes on", "", eventTexts(1, 3), eventTexts(3, 5), eventTexts(1, 5), false},
		{"a caller's own position", "7", eventText(8), "", eventText(8), false},
		{"events without ids", "", "data: a\n\ndata: b\r\n\r\n", "", "data: a\n\ndata: b\r\n\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := &exchange.Events{}
			events.After(c.after)
			out, err := events.Feed(nil, []byte(c.first))
			if c.resumed != "" {
				must.NoError(t, err)
				events.Resume()
				out, err = events.Feed(out, []byte(c.resumed))
			}
			must.Eq(t, c.fails, err != nil)
			must.Eq(t, c.want, string(out))
		})
	}
}

func TestLongEventIsRefused(t *testing.T) {
	events := &exchange.Events{}
	_, err := events.Feed(nil, []byte("data: "+strings.Repeat("a", 2<<20)))
	must.Error(t, err)
	must.Eq(t, "", events.Last())
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventTexts(1, 4)), 9)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(len(data), cut))
		one, two := &exchange.Events{}, &exchange.Events{}
		outOne, errOne := one.Feed(nil, data)
		outTwo, errTwo := two.Feed(nil, data[:cut])
		if errTwo == nil {
			outTwo, errTwo = two.Feed(outTwo, data[cut:])
		}
		must.Eq(t, errOne == nil, errTwo == nil)
		must.Eq(t, string(outOne), string(outTwo))
	})
}

// TestBothLineEndsSplitEvents mixes the two ends of an event in one piece.
func TestBothLineEndsSplitEvents(t *testing.T) {
	for _, text := range []string{"id: 1\r\n\r\nid: 2\n\n", "id: 1\n\nid: 2\r\n\r\n", "id: 1\n\nid: 2\n\n", "id: 1\r\n\r\nid: 2\r\n\r\n"} {
		events := &exchange.Events{}
		out, err := events.Feed(nil, []byte(text+"id: 3"))
		must.NoError(t, err)
		must.Eq(t, text, string(out))
		must.Eq(t, "2", events.Last())
		must.False(t, events.IsBetween())
	}
}

// TestPositionOfTheCaller begins behind what the caller states, if it is a number.
func TestPositionOfTheCaller(t *testing.T) {
	for _, c := range []struct {
		after, last string
		fails       bool
	}{{"7", "7", true}, {"6", "6", false}, {"", "", false}, {"x", "", false}} {
		events := &exchange.Events{}
		events.After(c.after)
		must.Eq(t, c.last, events.Last())
		_, err := events.Feed(nil, []byte(eventText(7)))
		must.Eq(t, c.fails, err != nil, must.Sprint(c))
	}
}

// TestLongestEvent feeds an event as long as allowed, and one byte more.
func TestLongestEvent(t *testing.T) {
	const longest = 1 << 20
	for _, length := range []int{longest, longest + 1} {
		events := &exchange.Events{}
		_, err := events.Feed(nil, []byte(strings.Repeat("a", length)))
		must.Eq(t, length > longest, err != nil)
	}
}
