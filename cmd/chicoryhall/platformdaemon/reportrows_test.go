package platformdaemon

import (
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
)

func newTestReportRows() *reportRows {
	return &reportRows{log: event.NewLogger(io.Discard, "test", log.ErrorLevel)}
}

// reportRow returns the row of a daemon's report of so many involvements.
func reportRow(daemon, involved int, version int64) table.Row {
	var report quarantine.Report
	for i := range involved {
		report.Involved = append(report.Involved, quarantine.Involvement{
			Fingerprint: quarantine.Fingerprint(1000*daemon + i), Content: suspect, Attempt: fmt.Sprintf("0123456789abcdef/%d", i),
			Incarnation: quarantine.Incarnation{Endpoint: chicoryhall.EndpointID(fmt.Sprintf("i-0123456789-%d", i%20)), Number: 1},
		})
	}
	return table.Row{Key: fmt.Sprint(reportPrefix, daemon), Value: table.EncodeValue(report), Version: version}
}

// TestUnchangedReportsAreDecodedOnce reads rows again that are the same or have changed.
func TestUnchangedReportsAreDecodedOnce(t *testing.T) {
	broken := reportRow(1, 2, 2)
	broken.Value = "{"
	cases := []struct {
		name   string
		second []table.Row
		want   int
		same   bool
	}{
		{"the same row", []table.Row{reportRow(1, 2, 1)}, 2, true},
		{"another version with the same value", []table.Row{reportRow(1, 2, 2)}, 2, true},
		{"another value", []table.Row{reportRow(1, 3, 2)}, 3, false},
		{"another value with the same version, after the store was restored", []table.Row{reportRow(1, 1, 1)}, 1, false},
		{"a value that cannot be read", []table.Row{broken}, 0, false},
		{"no row", nil, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rows := newTestReportRows()
			first := rows.decode([]table.Row{reportRow(1, 2, 1)})["1"].Involved
			second := rows.decode(c.second)["1"].Involved
			must.Len(t, c.want, second)
			must.Eq(t, c.same, len(second) > 0 && &first[0] == &second[0])
			must.MapLen(t, len(rows.decode(c.second)), rows.decoded)
		})
	}
}

// BenchmarkReadReports reads the reports of 76 daemons of 100 involvements each, one of which has changed each time.
func BenchmarkReadReports(b *testing.B) {
	var rows []table.Row
	for daemon := range 76 {
		rows = append(rows, reportRow(daemon, 100, 1))
	}
	others := slices.Clone(rows)
	others[3] = reportRow(3, 99, 2)
	read := newTestReportRows()
	for b.Loop() {
		read.decode(rows)
		rows, others = others, rows
	}
}
