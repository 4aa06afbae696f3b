package exchange_test

import (
	"bytes"
	"fmt"
	"runtime"
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

// TestResumedStreamsHaveNoGap interrupts streams at random positions and resumes them after the last complete
// event.
func TestResumedStreamsHaveNoGap(t *testing.T) {
	const count = 12
	rapid.Check(t, func(t *rapid.T) {
		events := &exchange.EventSplitter{}
		var out []byte
		next := 1
		for next <= count {
			stream := eventTexts(next, count+1)
			kept := rapid.IntRange(0, len(stream)).Draw(t, "kept")
			rest := stream[:kept]
			for rest != "" {
				n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
				var err error
				out, err = events.Feed(out, []byte(rest[:n]))
				must.NoError(t, err)
				rest = rest[n:]
			}
			if events.LastID() != "" {
				_, err := fmt.Sscan(events.LastID(), &next)
				must.NoError(t, err)
				next++
			}
			events = events.Resumed()
			must.True(t, events.AtBoundary())
		}
		must.Eq(t, eventTexts(1, count+1), string(out))
	})
}

func TestEventOrder(t *testing.T) {
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
		{"a resumed stream with a gap", "", eventText(1), eventText(3), eventText(1), true},
		{"a resumed stream that starts from the beginning", "", eventTexts(1, 3), eventTexts(1, 5), eventTexts(1, 5), false},
		{"a resumed stream that continues", "", eventTexts(1, 3), eventTexts(3, 5), eventTexts(1, 5), false},
		{"a resumed stream whose IDs had a gap before", "", eventText(1) + eventText(3), eventText(6) + eventText(7), eventText(1) + eventText(3) + eventText(6) + eventText(7), false},
		{"a resumed stream whose IDs begin with a gap", "7", eventText(9), eventText(11), eventText(9), true},
		{"events after SetLastID", "7", eventText(8), "", eventText(8), false},
		{"events without ids", "", "data: a\n\ndata: b\r\n\r\n", "", "data: a\n\ndata: b\r\n\r\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := &exchange.EventSplitter{}
			events.SetLastID(c.after)
			out, err := events.Feed(nil, []byte(c.first))
			if c.resumed != "" {
				must.NoError(t, err)
				events = events.Resumed()
				out, err = events.Feed(out, []byte(c.resumed))
			}
			must.Eq(t, c.fails, err != nil)
			must.Eq(t, c.want, string(out))
		})
	}
}

func TestLongIncompleteEventIsRefused(t *testing.T) {
	events := &exchange.EventSplitter{}
	_, err := events.Feed(nil, []byte("data: "+strings.Repeat("a", 2<<20)))
	must.Error(t, err)
	must.Eq(t, "", events.LastID())
}

// FuzzEvents feeds arbitrary bytes at once and in two pieces, which must give the same events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(eventTexts(1, 4)), 9)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		split = max(0, min(len(data), split))
		one, two := &exchange.EventSplitter{}, &exchange.EventSplitter{}
		outOne, errOne := one.Feed(nil, data)
		outTwo, errTwo := two.Feed(nil, data[:split])
		if errTwo == nil {
			outTwo, errTwo = two.Feed(outTwo, data[split:])
		}
		must.Eq(t, errOne == nil, errTwo == nil)
		must.Eq(t, string(outOne), string(outTwo))
	})
}

// TestMixedLineEndings feeds events that end with either kind of empty line.
func TestMixedLineEndings(t *testing.T) {
	for _, text := range []string{"id: 1\r\n\r\nid: 2\n\n", "id: 1\n\nid: 2\r\n\r\n", "id: 1\n\nid: 2\n\n", "id: 1\r\n\r\nid: 2\r\n\r\n"} {
		events := &exchange.EventSplitter{}
		out, err := events.Feed(nil, []byte(text+"id: 3"))
		must.NoError(t, err)
		must.Eq(t, text, string(out))
		must.Eq(t, "2", events.LastID())
		must.False(t, events.AtBoundary())
	}
}

// TestSetLastID starts after the ID that the caller states, if it is a number.
func TestSetLastID(t *testing.T) {
	for _, c := range []struct {
		after, last string
		fails       bool
	}{{"7", "7", true}, {"6", "6", false}, {"", "", false}, {"x", "", false}} {
		events := &exchange.EventSplitter{}
		events.SetLastID(c.after)
		must.Eq(t, c.last, events.LastID())
		_, err := events.Feed(nil, []byte(eventText(7)))
		must.Eq(t, c.fails, err != nil, must.Sprint(c))
	}
}

// TestLongestIncompleteEvent feeds an incomplete event of the maximum size, and one that is a byte larger.
func TestLongestIncompleteEvent(t *testing.T) {
	const longest = 1 << 20
	for _, length := range []int{longest, longest + 1} {
		events := &exchange.EventSplitter{}
		_, err := events.Feed(nil, []byte(strings.Repeat("a", length)))
		must.Eq(t, length > longest, err != nil)
	}
}

// TestLongEventInPiecesIsCopiedOnce guards against copies of an incomplete event with each of its pieces.
func TestLongEventInPiecesIsCopiedOnce(t *testing.T) {
	const pieces, maxAllocated = 1000, 8 << 20 // The event has 1,000 KiB.
	piece := bytes.Repeat([]byte("x"), 1024)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var splitter exchange.EventSplitter
	for range pieces {
		out, err := splitter.Feed(nil, piece)
		must.NoError(t, err)
		must.Len(t, 0, out)
	}
	out, err := splitter.Feed(nil, []byte("\n\nid: 2\n"))
	must.NoError(t, err)
	runtime.ReadMemStats(&after)
	must.Eq(t, pieces*len(piece)+2, len(out))
	must.False(t, splitter.AtBoundary())
	must.Less(t, uint64(maxAllocated), after.TotalAlloc-before.TotalAlloc)
}

// TestEventsInPiecesAreThoseInOne splits a stream at each place, and between all bytes.
func TestEventsInPiecesAreThoseInOne(t *testing.T) {
	stream := []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n\n\r\n\r\nid: 3\r\n\ndata: d\n\n")
	var whole exchange.EventSplitter
	want, err := whole.Feed(nil, stream)
	must.NoError(t, err)
	for at := range stream {
		var splitter exchange.EventSplitter
		got, err := splitter.Feed(nil, stream[:at])
		must.NoError(t, err)
		got, err = splitter.Feed(got, stream[at:])
		must.NoError(t, err)
		must.Eq(t, string(want), string(got), must.Sprint("split at ", at))
		must.Eq(t, whole.LastID(), splitter.LastID())
	}
	var splitter exchange.EventSplitter
	var got []byte
	for i := range stream {
		got, err = splitter.Feed(got, stream[i:i+1])
		must.NoError(t, err)
	}
	must.Eq(t, string(want), string(got))
	must.Eq(t, whole.AtBoundary(), splitter.AtBoundary())
}
