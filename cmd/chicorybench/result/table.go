package result

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const columnPadding = 2

// WriteTable writes the result as a text table. Times are in milliseconds.
func (r *Result) WriteTable(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(columns, "service\tclass\torganisation\tsent\tanswered once\tnot run\tunknown\trejected\tlost\tdoubled\twrong\tran though \"not run\"\tfirst token p50/p95/p99\tbetween tokens p50/p95/p99")
	for _, row := range r.Rows {
		fmt.Fprintf(columns, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n",
			row.Service, row.Class, row.Organisation, row.Sent, row.Answered, row.NotRun, row.Unknown,
			row.Rejected, row.Lost, row.Doubled, row.Wrong, row.RanNotRun, row.FirstToken.format(), row.BetweenTokens.format())
	}
	if err := columns.Flush(); err != nil {
		return err
	}
	r.writeTotals(w)
	return nil
}

func (r *Result) writeTotals(w io.Writer) {
	fmt.Fprintf(w, "\nthroughput %.0f tokens/s", r.TokensPerSecond)
	if r.BoundTokensPerSecond > 0 {
		fmt.Fprintf(w, ", bound %.0f tokens/s, throughput/bound %.3f", r.BoundTokensPerSecond, r.TokensPerSecond/r.BoundTokensPerSecond)
	}
	fmt.Fprintf(w, " over %.1f s; seed %d; ledgers read %d, missing %d; arrivals dropped by the bench %d\n",
		r.Seconds, r.Seed, r.LedgersRead, r.LedgersMissing, r.Dropped)
	for _, recovery := range r.Recoveries {
		if recovery.Err != "" {
			fmt.Fprintf(w, "fault %q at %.1f s could not be set: %s\n", recovery.Fault, recovery.At, recovery.Err)
			continue
		}
		fmt.Fprintf(w, "recovery after %q at %.1f s: %d answers stopped, next token after %s ms (p50/p95/p99)\n",
			recovery.Fault, recovery.At, recovery.Stopped.Count, recovery.Stopped.format())
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "%d requests %s: %s\n", reason.Count, reason.Ending, reason.Reason)
	}
	for _, finding := range r.Findings {
		fmt.Fprintf(w, "broken: %s\n", finding)
	}
}

// format returns p50, p95 and p99, or "-" if there are no durations.
func (q Quantiles) format() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", q.P50, q.P95, q.P99)
}
