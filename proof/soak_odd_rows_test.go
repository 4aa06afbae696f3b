package proof

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// oddRowTime is the time from one odd row to the next one.
	oddRowTime = 50 * time.Millisecond
	// placedTime is the time in which the engines get their layers after the start.
	placedTime = 8 * time.Second
	// followTime bounds the time until all daemons use an engine that has just listed itself.
	followTime = 5 * time.Second
)

// oddRow is a row that another writer left in the store.
type oddRow struct {
	name  string
	table string
	key   string
	value []byte
}

// oddEntry returns an entry with some fields changed, of an engine that would hold the whole model. Nothing listens at its address.
func oddEntry(t *testing.T, changes map[string]any) []byte {
	t.Helper()
	entry := map[string]any{
		"service": "model", "address": freeAddress(t), "zone": "x", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"born": time.Now().UnixMilli(), "sequence": 1, "kind": "fast", "models": []map[string]any{{"name": "m", "version": 1}},
		"layers": map[string]int{"from": 0, "to": 8},
	}
	maps.Copy(entry, changes)
	var fields []string
	for name, value := range entry {
		text, isText := value.(jsonText)
		if !isText {
			encoded, err := json.Marshal(value)
			must.NoError(t, err)
			text = jsonText(encoded)
		}
		fields = append(fields, fmt.Sprintf("%q:%s", name, text))
	}
	return []byte("{" + strings.Join(fields, ",") + "}")
}

// oddRows returns rows that name no engine to use, or one that is leaving.
func oddRows(t *testing.T) []oddRow {
	nested := func(depth int) jsonText { return jsonText(strings.Repeat("[", depth) + strings.Repeat("]", depth)) }
	layers := func(from, to int) map[string]any {
		return map[string]any{"layers": map[string]int{"from": from, "to": to}}
	}
	odd := []struct {
		name    string
		changes map[string]any
	}{
		{"layers nested deeply", map[string]any{"layers": nested(5000)}},
		{"an unknown field nested deeply", map[string]any{"more": nested(9000), "state": "draining"}},
		{"an unknown field nested too deeply", map[string]any{"more": nested(30000)}},
		{"slots too large for any integer", map[string]any{"slots": jsonText("1e400")}},
		{"slots too large for an integer", map[string]any{"slots": jsonText("99999999999999999999")}},
		{"the most slots", map[string]any{"slots": math.MaxInt64}},
		{"a port out of range", map[string]any{"address": "127.0.0.1:99999"}},
		{"a port of many digits", map[string]any{"address": "127.0.0.1:" + strings.Repeat("9", 400)}},
		{"no port", map[string]any{"address": "127.0.0.1:0"}},
		{"layers to the largest integer", layers(0, math.MaxInt64)},
		{"layers at the largest integer", layers(math.MaxInt64-1, math.MaxInt64)},
		{"layers behind those of the model", layers(8, 16)},
		{"more layers than the model has", layers(0, 1<<40)},
		{"a start in the far future", map[string]any{"born": math.MaxInt64}},
		{"a start in the far past", map[string]any{"born": math.MinInt64}},
		{"a sequence at the largest integer", map[string]any{"sequence": math.MaxInt64, "state": "draining"}},
		{"a slow time without end", map[string]any{"coldRemainingMs": 1e308, "state": "draining"}},
		{"thousands of models", map[string]any{"models": slices.Repeat([]map[string]any{{"name": "m"}}, 3000), "state": "draining"}},
		{"thousands of empty models", map[string]any{"models": slices.Repeat([]map[string]any{{}}, 15000), "state": "draining"}},
		{"a model that is none", map[string]any{"models": []any{nil, 1, "m"}}},
		{"an unknown kind", map[string]any{"kind": "other"}},
		{"a kind that is no name", map[string]any{"kind": strings.Repeat("k", 5000)}},
		{"a failure domain that is no name", map[string]any{"zone": strings.Repeat("z", 5000)}},
		{"an unknown service", map[string]any{"service": "other"}},
	}
	var rows []oddRow
	for i, one := range odd {
		rows = append(rows, oddRow{one.name, "servers", fmt.Sprint("odd-", i), oddEntry(t, one.changes)})
	}
	for i, text := range []string{"", "null", "[]", "7", `"x"`, "{", "\xff\xfe\x00", strings.Repeat("[", 60000), `{"service":null}`} {
		for _, table := range []string{"servers", "daemons", "quarantine", "reservations", "leases", "alerts"} {
			rows = append(rows, oddRow{fmt.Sprintf("the value %.8q in %s", text, table), table, fmt.Sprint("text-", i), []byte(text)})
		}
	}
	for _, key := range []string{"", "a\r\nSmuggled: 1", "a b", "\x00", "é"} {
		rows = append(rows, oddRow{fmt.Sprintf("the key %.16q", key), "servers", key, oddEntry(t, nil)})
	}
	return rows
}

// TestOddRowsAreIgnored guards against rows of other writers that end the daemons that read them, or keep them from following the
// list (LOST): their callers are served all the while, and an engine that lists itself afterwards gets requests.
func TestOddRowsAreIgnored(t *testing.T) {
	layout := soakLayout{domains: []string{"x"}, daemons: neighbourDaemons, engines: 4, plain: 2, areNeighbours: true}
	w := newSoakPlatform(t, layout)
	time.Sleep(placedTime)
	callers := startCallers(w, 8, 1, ownBody)
	for _, row := range oddRows(t) {
		postControl(w.control, "/rows", map[string]any{"table": row.table, "key": row.key, "value": row.value})
		time.Sleep(oddRowTime)
		for _, d := range w.daemons {
			must.True(t, d.running(), must.Sprintf("%s has ended after %s", d.name, row.name))
		}
	}
	served, sent := countServed(callers.stop())
	t.Logf("%d of %d requests served", served, sent)
	must.GreaterEq(t, sent*minServedPercent/100, served)

	crashed := w.engines[0]
	callers = startCallersOf(w, 2, streamKind)
	postControl(w.control, "/engines/"+crashed+"/crash", nil)
	back := time.Now().Add(followTime)
	eventually(t, "requests reach an engine that is back", followTime+startTimeout, func() bool {
		times := w.requestTimes(t)[crashed]
		return time.Now().After(back) && len(times) > 0 && time.UnixMilli(times[len(times)-1]).After(back)
	})
	callers.stop()
}

// countServed returns how many requests got a whole answer, and how many were sent.
func countServed(results []soakResult) (served, sent int) {
	for i := range results {
		if results[i].status == http.StatusOK && results[i].err == nil {
			served++
		}
	}
	return served, len(results)
}
