package platformdaemon

import (
	"strings"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
)

// reportRows decodes the rows of the daemons' reports. A row with the value of the read before is not decoded again.
type reportRows struct {
	log     *event.Logger
	decoded map[string]decodedReport
}

// decodedReport is the report that a row's value contains.
type decodedReport struct {
	value  string
	report quarantine.Report
}

// decode returns the reports in all rows. Rows that cannot be read are left out.
func (r *reportRows) decode(rows []table.Row) map[chicoryhall.DaemonID]quarantine.Report {
	reports := make(map[chicoryhall.DaemonID]quarantine.Report, len(rows))
	decoded := make(map[string]decodedReport, len(rows))
	for _, row := range rows {
		one, known := r.decoded[row.Key]
		if !known || one.value != row.Value {
			report, err := table.DecodeValue[quarantine.Report](row)
			if err != nil {
				r.log.Log(event.RowUnreadable, "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			one = decodedReport{value: row.Value, report: report}
		}
		decoded[row.Key] = one
		reports[chicoryhall.DaemonID(strings.TrimPrefix(row.Key, reportPrefix))] = one.report
	}
	r.decoded = decoded
	return reports
}
