package result

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteComparison writes a table that compares two results of the same plan. Rows that only one result has are left
// out. Recoveries are compared in the order of the plan's faults.
func WriteComparison(w io.Writer, before, after *Result) error {
	columns := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(columns, "value\tbefore\tafter")
	fmt.Fprintf(columns, "plan\t%s\t%s\n", before.Plan, after.Plan)
	fmt.Fprintf(columns, "tokens/s\t%.0f\t%.0f\n", before.TokensPerSecond, after.TokensPerSecond)
	fmt.Fprintf(columns, "throughput/bound\t%s\t%s\n", before.throughputRatio(), after.throughputRatio())
	fmt.Fprintf(columns, "requests that violated a guarantee\t%d\t%d\n", before.ViolationCount(), after.ViolationCount())
	for _, row := range before.Rows {
		other := after.findRow(row)
		if other == nil {
			continue
		}
		writeRowComparison(columns, row, *other)
	}
	for i, recovery := range before.Recoveries {
		if i < len(after.Recoveries) {
			fmt.Fprintf(columns, "next token after %s\t%s\t%s\n", recovery.Fault, recovery.NextToken.format(), after.Recoveries[i].NextToken.format())
		}
	}
	return columns.Flush()
}

func writeRowComparison(w io.Writer, before, after Row) {
	name := fmt.Sprintf("%s %s %s", before.Service, before.Class, before.Organisation)
	fmt.Fprintf(w, "%s answered/sent\t%d/%d\t%d/%d\n", name, before.Answered, before.Sent, after.Answered, after.Sent)
	fmt.Fprintf(w, "%s first token\t%s\t%s\n", name, before.FirstToken.format(), after.FirstToken.format())
	fmt.Fprintf(w, "%s between tokens\t%s\t%s\n", name, before.BetweenTokens.format(), after.BetweenTokens.format())
}

// findRow returns the row with the same service, class and organisation as the given one, or nil.
func (r *Result) findRow(row Row) *Row {
	for i := range r.Rows {
		other := &r.Rows[i]
		if other.Service == row.Service && other.Class == row.Class && other.Organisation == row.Organisation {
			return other
		}
	}
	return nil
}

// throughputRatio returns the throughput divided by its upper bound, or "-" if there is none.
func (r *Result) throughputRatio() string {
	if r.BoundTokensPerSecond == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", r.TokensPerSecond/r.BoundTokensPerSecond)
}
