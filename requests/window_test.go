package requests

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// TestAnswerCache checks the limits on finished answers by organisation and by age.
func TestAnswerCache(t *testing.T) {
	const large = maxOrganisationBytes / 4
	now := time.Unix(1000, 0)
	add := func(cache *answerCache, organisation chicoryhall.Organisation, count, bytes int, at time.Time) {
		for i := range count {
			r := &Request{record: chicoryhall.RequestRecord{
				ID: chicoryhall.RequestID(fmt.Sprintf("%s-%d", organisation, i)), Organisation: organisation,
				Body: string(make([]byte, bytes)),
			}}
			cache.add(r, at)
		}
	}
	cases := []struct {
		name      string
		fill      func(cache *answerCache)
		expireAt  time.Time
		forgotten []chicoryhall.RequestID
	}{
		{"below the bounds", func(cache *answerCache) { add(cache, "a", 3, large, now) }, now, nil},
		{"one organisation above its bytes", func(cache *answerCache) {
			add(cache, "a", 5, large, now)
			add(cache, "b", 3, large, now)
		}, now, []chicoryhall.RequestID{"a-0", "a-1"}},
		{"one answer above the bytes", func(cache *answerCache) { add(cache, "a", 1, 2*maxOrganisationBytes, now) }, now, nil},
		{"old", func(cache *answerCache) {
			add(cache, "a", 1, 1, now)
			add(cache, "b", 1, 1, now.Add(time.Second))
		}, now.Add(answerLifetime + 1), []chicoryhall.RequestID{"a-0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var forgotten []chicoryhall.RequestID
			cache := newAnswerCache(func(r *Request) { forgotten = append(forgotten, r.record.ID) })
			c.fill(cache)
			cache.expire(c.expireAt)
			must.Eq(t, c.forgotten, forgotten)
		})
	}
}

// TestLabelsAreBounded checks that organisations beyond maxLabels share one histogram.
func TestLabelsAreBounded(t *testing.T) {
	m := NewMetrics()
	for i := range maxLabels {
		name := fmt.Sprint(i)
		must.Eq(t, name, m.limitLabels("organisation", name))
	}
	must.Eq(t, otherLabel, m.limitLabels("organisation", "one more"))
	must.Eq(t, "0", m.limitLabels("organisation", "0"))
	must.Eq(t, "0", m.limitLabels("class", "0"))
}
