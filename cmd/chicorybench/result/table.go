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
		fmt.Fprintf(w, ", upper bound %.0f tokens/s, throughput/bound %.3f", r.BoundTokensPerSecond, r.TokensPerSecond/r.BoundTokensPerSecond)
	}
	fmt.Fprintf(w, "; run of %.1f s; seed %d; ledgers read %d, unread %d; requests not sent because too many were in progress %d\n",
		r.Seconds, r.Seed, r.LedgersRead, r.LedgersUnread, r.Dropped)
	for _, recovery := range r.Recoveries {
		if recovery.Err != "" {
			fmt.Fprintf(w, "fault %q at %.1f s could not be injected: %s\n", recovery.Fault, recovery.At, recovery.Err)
			continue
		}
		fmt.Fprintf(w, "recovery after %q at %.1f s: %d interruptions, next token after %s ms (p50/p95/p99)\n",
			recovery.Fault, recovery.At, recovery.NextToken.Count, recovery.NextToken.format())
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "%d requests ended as %s, reason: %s\n", reason.Count, reason.Ending, reason.Text)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(w, "violation: %s\n", violation)
	}
}

// format returns p50, p95 and p99, or "-" if there are no durations.
func (d DurationSummary) format() string {
	if d.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", d.P50, d.P95, d.P99)
}
