package quarantine_test

import (
	"fmt"
	"testing"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
)

// BenchmarkAnswersAfterCrashes lets answers go on while 76 daemons have reported 100 involvements each.
func BenchmarkAnswersAfterCrashes(b *testing.B) {
	e := quarantine.NewEvidence("self")
	reports := make(map[chicoryhall.DaemonID]quarantine.Report)
	for d := range 76 {
		var report quarantine.Report
		for i := range 50 {
			content, crash := quarantine.Fingerprint(100000+100*d+i), fmt.Sprint("e", i%20)
			report.Involved = append(report.Involved, lost(content, fmt.Sprint(d, "/", i), crash),
				partLost(quarantine.Fingerprint(200+i%40), content, crash))
		}
		reports[chicoryhall.DaemonID(fmt.Sprint(d))] = report
	}
	e.Replace(reports, lossStart)
	for b.Loop() {
		for _, one := range e.Began([]quarantine.Fingerprint{201, 202}, false, lossStart) {
			e.Clear(one.Fingerprint, []quarantine.Incarnation{one.Incarnation})
		}
		e.ContentStanding(quarantine.Content{Whole: 5, Parts: []quarantine.Fingerprint{201, 202}}, lossStart)
		e.Replace(reports, lossStart)
	}
}
