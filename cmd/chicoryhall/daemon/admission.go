package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall/admission"
)

// buildAdmission adds the component that decides which requests start and which wait.
func (b *builder) buildAdmission() error {
	controller := admission.New(b.timer, b.documents, b.endpoints, b.members)
	b.admission = controller
	b.decisionMetrics = append(b.decisionMetrics, func(w io.Writer) { writeAdmission(w, controller.Stats()) })
	return nil
}

// writeAdmission writes the metrics of each service's concurrency limit: its value and the requests running and waiting.
func writeAdmission(w io.Writer, all []admission.Stats) {
	for _, stats := range all {
		for _, gauge := range []struct {
			name  string
			value int
		}{
			{"chicoryhall_admission_limit", stats.Limit},
			{"chicoryhall_admission_running", stats.Running},
			{"chicoryhall_admission_waiting", stats.Waiting},
		} {
			metrics.WriteGaugeUint64(w, fmt.Sprintf("%s{service=%q}", gauge.name, stats.Service), uint64(gauge.value))
		}
	}
}
