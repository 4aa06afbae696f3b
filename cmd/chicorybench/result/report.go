package result

import (
	"fmt"
	"io"
)

// WriteReport writes results as Markdown tables: the totals of each run, and its recoveries from faults. names[i] is the
// name of results[i]. The tables do not show rejected requests, so the counts of a run need not add up to those sent.
func WriteReport(w io.Writer, names []string, results []*Result) error {
	fmt.Fprint(w, "| run | command | sent | answered once | not run | unknown | lost | doubled | wrong | ran though \"not run\" | tokens/s | throughput/bound | first token p95 ms (lowest to highest row) | between tokens p95 ms (lowest to highest row) |\n")
	fmt.Fprint(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i, r := range results {
		total := r.total()
		fmt.Fprintf(w, "| %s | `%s` | %d | %d | %d | %d | %d | %d | %d | %d | %.0f | %s | %s | %s |\n",
			names[i], r.LayoutCommand, total.Sent, total.Answered, total.NotRun, total.Unknown, total.Lost, total.Doubled,
			total.Wrong, total.RanNotRun, r.TokensPerSecond, r.throughputRatio(), r.p95Range(firstTokenOf), r.p95Range(betweenTokensOf))
	}
	fmt.Fprint(w, "\n| run | fault | interruptions | next token p50 ms | next token p95 ms | next token p99 ms |\n|---|---|---|---|---|---|\n")
	for i, r := range results {
		for _, recovery := range r.Recoveries {
			if err := writeRecovery(w, names[i], recovery); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeRecovery writes one recovery. A fault that could not be injected is written like one that interrupted no answer;
// WriteTable shows its error.
func writeRecovery(w io.Writer, name string, recovery Recovery) error {
	next := recovery.NextToken
	_, err := fmt.Fprintf(w, "| %s | %s | %d | %.0f | %.0f | %.0f |\n", name, recovery.Fault, next.Count, next.P50, next.P95, next.P99)
	return err
}

// total adds up those counts of all rows that WriteReport shows.
func (r *Result) total() Row {
	var total Row
	for _, row := range r.Rows {
		total.Sent += row.Sent
		total.Answered += row.Answered
		total.NotRun += row.NotRun
		total.Unknown += row.Unknown
		total.Lost += row.Lost
		total.Doubled += row.Doubled
		total.Wrong += row.Wrong
		total.RanNotRun += row.RanNotRun
	}
	return total
}

func firstTokenOf(row *Row) DurationSummary { return row.FirstToken }

func betweenTokensOf(row *Row) DurationSummary { return row.BetweenTokens }

// p95Range formats the lowest and the highest p95 in milliseconds of all rows that have tokens. summaryOf selects
// the durations of a row.
func (r *Result) p95Range(summaryOf func(row *Row) DurationSummary) string {
	lowest, highest := 0.0, 0.0
	for i := range r.Rows {
		durations := summaryOf(&r.Rows[i])
		if r.Rows[i].Tokens == 0 || durations.Count == 0 {
			continue
		}
		if lowest == 0 || durations.P95 < lowest {
			lowest = durations.P95
		}
		highest = max(highest, durations.P95)
	}
	return fmt.Sprintf("%.0f to %.0f", lowest, highest)
}
