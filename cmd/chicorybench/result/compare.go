package result

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison prints two results side by side, row by row.
func WriteComparison(w io.Writer, before, after *Result) error {
	columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(columns, "what\tbefore\tafter")
	fmt.Fprintf(columns, "plan\t%s\t%s\n", before.Plan, after.Plan)
	fmt.Fprintf(columns, "tokens/s\t%.0f\t%.0f\n", before.TokensPerSecond, after.TokensPerSecond)
	fmt.Fprintf(columns, "throughput/bound\t%s\t%s\n", before.share(), after.share())
	fmt.Fprintf(columns, "requests that broke a promise\t%d\t%d\n", before.Broken(), after.Broken())
	for _, row := range before.Rows {
		other := after.find(row)
		if other == nil {
			continue
		}
		writeRowComparison(columns, row, *other)
	}
	for i, recovery := range before.Recoveries {
		if i < len(after.Recoveries) {
			fmt.Fprintf(columns, "recovery after %s\t%s\t%s\n", recovery.Fault, recovery.Stopped.short(), after.Recoveries[i].Stopped.short())
		}
	}
	return columns.Flush()
}

func writeRowComparison(w io.Writer, before, after Row) {
	name := fmt.Sprintf("%s %s %s", before.Service, before.Class, before.Organisation)
	fmt.Fprintf(w, "%s answered/sent\t%d/%d\t%d/%d\n", name, before.Answered, before.Sent, after.Answered, after.Sent)
	fmt.Fprintf(w, "%s first token\t%s\t%s\n", name, before.FirstToken.short(), after.FirstToken.short())
	fmt.Fprintf(w, "%s between tokens\t%s\t%s\n", name, before.BetweenTokens.short(), after.BetweenTokens.short())
}

func (r *Result) find(row Row) *Row {
	for i := range r.Rows {
		other := &r.Rows[i]
		if other.Service == row.Service && other.Class == row.Class && other.Organisation == row.Organisation {
			return other
		}
	}
	return nil
}

func (r *Result) share() string {
	if r.BoundTokensPerSecond == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", r.TokensPerSecond/r.BoundTokensPerSecond)
}
