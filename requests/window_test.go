package requests

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// TestWindow bounds finished answers by organisation and by age.
func TestWindow(t *testing.T) {
	const large = windowBytes / 4
	now := time.Unix(1000, 0)
	add := func(w *window, organisation chicoryhall.Organisation, count, bytes int, at time.Time) {
		for i := range count {
			r := &Request{record: chicoryhall.RequestRecord{
				ID: chicoryhall.RequestID(fmt.Sprintf("%s-%d", organisation, i)), Organisation: organisation,
				Body: string(make([]byte, bytes)),
			}}
			w.add(r, at)
		}
	}
	cases := []struct {
		name      string
		fill      func(w *window)
		expireAt  time.Time
		forgotten []chicoryhall.RequestID
	}{
		{"below the bounds", func(w *window) { add(w, "a", 3, large, now) }, now, nil},
		{"one organisation above its bytes", func(w *window) {
			add(w, "a", 5, large, now)
			add(w, "b", 3, large, now)
		}, now, []chicoryhall.RequestID{"a-0", "a-1"}},
		{"one answer above the bytes", func(w *window) { add(w, "a", 1, 2*windowBytes, now) }, now, nil},
		{"old", func(w *window) {
			add(w, "a", 1, 1, now)
			add(w, "b", 1, 1, now.Add(time.Second))
		}, now.Add(windowAge + 1), []chicoryhall.RequestID{"a-0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var forgotten []chicoryhall.RequestID
			w := newWindow(func(r *Request) { forgotten = append(forgotten, r.record.ID) })
			c.fill(w)
			w.expire(c.expireAt)
			must.Eq(t, c.forgotten, forgotten)
		})
	}
}

// TestLabelsAreBounded gives the organisations above the bound one histogram together.
func TestLabelsAreBounded(t *testing.T) {
	m := NewMetrics()
	for i := range maxLabels {
		name := fmt.Sprint(i)
		must.Eq(t, name, m.bounded("organisation", name))
	}
	must.Eq(t, otherLabel, m.bounded("organisation", "one more"))
	must.Eq(t, "0", m.bounded("organisation", "0"))
	must.Eq(t, "0", m.bounded("class", "0"))
}
