package passthrough

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall"
)

// Metrics counts what a Server does.
type Metrics struct {
	set         *metrics.Set
	connections *metrics.Counter
	refusals    *metrics.Counter
}

// NewMetrics returns Metrics at zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:         set,
		connections: set.NewCounter("chicoryhall_endpoint_connections_total"),
		refusals:    set.NewCounter("chicoryhall_exchanges_refused_total"),
	}
}

// Write writes the metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) refused() { m.refusals.Inc() }

// answered counts an answer to a message that is no request.
func (m *Metrics) answered(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_messages_refused_total{status=\"%d\"}", status)).Inc()
}

// ended counts an exchange and the time that it took.
func (m *Metrics) ended(class chicoryhall.ClassName, status int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_exchanges_total{class=%q,status=\"%d\"}", class, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("chicoryhall_exchange_seconds{class=%q}", class)).Update(took.Seconds())
}
