package result

import (
	"fmt"
	"io"
)

// WriteReport writes results as Markdown tables: the totals of all runs, and their recoveries from faults.
func WriteReport(w io.Writer, names []string, results []*Result) error {
	fmt.Fprint(w, "| run | command | sent | answered once | not run | unknown | lost | doubled | wrong | ran though \"not run\" | tokens/s | throughput/bound | first token p95 ms | between tokens p95 ms |\n")
	fmt.Fprint(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for i, r := range results {
		total := r.total()
		fmt.Fprintf(w, "| %s | `%s` | %d | %d | %d | %d | %d | %d | %d | %d | %.0f | %s | %s | %s |\n",
			names[i], r.Layout, total.Sent, total.Answered, total.NotRun, total.Unknown, total.Lost, total.Doubled,
			total.Wrong, total.RanNotRun, r.TokensPerSecond, r.throughputRatio(), r.p95Range(firstTokenOf), r.p95Range(betweenTokensOf))
	}
	fmt.Fprint(w, "\n| run | fault | answers stopped | next token p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|---|\n")
	for i, r := range results {
		for _, recovery := range r.Recoveries {
			if err := writeRecovery(w, names[i], recovery); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeRecovery(w io.Writer, name string, recovery Recovery) error {
	q := recovery.Stopped
	_, err := fmt.Fprintf(w, "| %s | %s | %d | %.0f | %.0f | %.0f |\n", name, recovery.Fault, q.Count, q.P50, q.P95, q.P99)
	return err
}

// total adds up the counts of all rows.
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

func firstTokenOf(row *Row) Quantiles { return row.FirstToken }

func betweenTokensOf(row *Row) Quantiles { return row.BetweenTokens }

// p95Range returns the minimum and the maximum p95 over all rows with tokens.
func (r *Result) p95Range(quantilesOf func(row *Row) Quantiles) string {
	lowest, highest := 0.0, 0.0
	for i := range r.Rows {
		q := quantilesOf(&r.Rows[i])
		if r.Rows[i].Tokens == 0 || q.Count == 0 {
			continue
		}
		if lowest == 0 || q.P95 < lowest {
			lowest = q.P95
		}
		highest = max(highest, q.P95)
	}
	return fmt.Sprintf("%.0f to %.0f", lowest, highest)
}
