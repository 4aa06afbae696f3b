package requests

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall"
)

// maxLabels bounds the organisations, and the classes, that have histograms of their own.
const maxLabels = 64

// otherLabel stands for the organisations and classes above maxLabels.
const otherLabel = "other"

// Metrics counts requests and measures their times.
type Metrics struct {
	set *metrics.Set

	mu    sync.Mutex
	known map[string]bool
}

// NewMetrics returns empty Metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet(), known: map[string]bool{}}
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// bounded returns label, or otherLabel when there are too many of its kind.
func (m *Metrics) bounded(kind, label string) string {
	key := kind + "\x00" + label
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known[key] {
		return label
	}
	count := 0
	for known := range m.known {
		if known[:len(kind)] == kind {
			count++
		}
	}
	if count >= maxLabels {
		return otherLabel
	}
	m.known[key] = true
	return label
}

func (m *Metrics) attempts(service chicoryhall.ServiceName) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`chicoryhall_attempts_total{service=%q}`, service))
}

func (m *Metrics) recoveries(service chicoryhall.ServiceName) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`chicoryhall_recoveries_total{service=%q}`, service))
}

func (m *Metrics) inconclusiveProbes() *metrics.Counter {
	return m.set.GetOrCreateCounter(`chicoryhall_inconclusive_probes_total`)
}

func (m *Metrics) recoverySeconds(service chicoryhall.ServiceName) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(fmt.Sprintf(`chicoryhall_recovery_seconds{service=%q}`, service))
}

func (m *Metrics) tokens(service chicoryhall.ServiceName) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`chicoryhall_tokens_total{service=%q}`, service))
}

func (m *Metrics) outcomes(record *chicoryhall.RequestRecord, outcome chicoryhall.Outcome, reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`chicoryhall_requests_total{service=%q,outcome=%q,reason=%q}`,
		record.Service, outcome, reason))
}

// observe adds a time to the histogram of the class and to that of the organisation.
func (m *Metrics) observe(name string, record *chicoryhall.RequestRecord, taken time.Duration) {
	class := m.bounded("class", string(record.Service)+"/"+string(record.Class))
	organisation := m.bounded("organisation", string(record.Organisation))
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chicoryhall_%s{class=%q}`, name, class)).Update(taken.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chicoryhall_%s{organisation=%q}`, name, organisation)).Update(taken.Seconds())
}

// timing remembers the times of one request.
type timing struct {
	first      bool
	lastToken  time.Time
	inRecovery bool
	faultAfter time.Time
	delivered  int
}

// recovering notes the last token before a recovery.
func (t *timing) recovering() {
	if !t.inRecovery {
		t.inRecovery = true
		t.faultAfter = t.lastToken
	}
}

// measureTokens counts delivered tokens and measures the first and the recovered ones.
func (r *Request) measureTokens(count int) {
	now := r.parts().Timer.Now()
	m := r.parts().Metrics
	if !r.timing.first {
		r.timing.first = true
		m.observe("first_token_seconds", &r.record, now.Sub(r.began))
	}
	if r.timing.inRecovery {
		r.timing.inRecovery = false
		since := r.timing.faultAfter
		if since.IsZero() {
			since = r.began
		}
		m.recoverySeconds(r.record.Service).Update(now.Sub(since).Seconds())
	}
	r.timing.lastToken = now
	r.timing.delivered += count
}

func (r *Request) measureEnd() {
	m := r.parts().Metrics
	m.outcomes(&r.record, r.result.Outcome, r.result.Reason).Inc()
	m.tokens(r.record.Service).Add(r.timing.delivered)
	if r.result.Outcome == chicoryhall.OutcomeAnswered {
		m.observe("request_seconds", &r.record, r.parts().Timer.Now().Sub(r.began))
	}
}
