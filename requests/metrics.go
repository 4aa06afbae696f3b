package requests

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall"
)

// maxLabels limits the number of organisations, and of classes, that have a histogram of their own.
const maxLabels = 64

// otherLabel is the label of all further organisations and classes.
const otherLabel = "other"

// Metrics counts requests and measures their times.
type Metrics struct {
	set *metrics.Set

	mu     sync.Mutex
	labels map[string]bool
}

// NewMetrics returns empty Metrics.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet(), labels: map[string]bool{}}
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// limitLabels returns the label, or otherLabel if there are maxLabels others of its kind.
func (m *Metrics) limitLabels(kind, label string) string {
	key := kind + "\x00" + label
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labels[key] {
		return label
	}
	count := 0
	for known := range m.labels {
		if known[:len(kind)] == kind {
			count++
		}
	}
	if count >= maxLabels {
		return otherLabel
	}
	m.labels[key] = true
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

// observe adds a duration to the histograms of the request's class and organisation.
func (m *Metrics) observe(name string, record *chicoryhall.RequestRecord, taken time.Duration) {
	class := m.limitLabels("class", string(record.Service)+"/"+string(record.Class))
	organisation := m.limitLabels("organisation", string(record.Organisation))
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chicoryhall_%s{class=%q}`, name, class)).Update(taken.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf(`chicoryhall_%s{organisation=%q}`, name, organisation)).Update(taken.Seconds())
}

// timing holds the times that the metrics of one request need.
type timing struct {
	hasFirstToken        bool
	lastToken            time.Time
	inRecovery           bool
	lastTokenBeforeFault time.Time
	delivered            int
}

// beginRecovery records the time of the last token before a recovery.
func (t *timing) beginRecovery() {
	if !t.inRecovery {
		t.inRecovery = true
		t.lastTokenBeforeFault = t.lastToken
	}
}

// measureTokens counts delivered tokens and measures the time to the first one and that of a
// recovery.
func (r *Request) measureTokens(count int) {
	now := r.config().Timer.Now()
	m := r.config().Metrics
	if !r.timing.hasFirstToken {
		r.timing.hasFirstToken = true
		m.observe("first_token_seconds", &r.record, now.Sub(r.startedAt))
	}
	if r.timing.inRecovery {
		r.timing.inRecovery = false
		since := r.timing.lastTokenBeforeFault
		if since.IsZero() {
			since = r.startedAt
		}
		m.recoverySeconds(r.record.Service).Update(now.Sub(since).Seconds())
	}
	r.timing.lastToken = now
	r.timing.delivered += count
}

func (r *Request) measureEnd() {
	m := r.config().Metrics
	m.outcomes(&r.record, r.result.Outcome, r.result.Reason).Inc()
	m.tokens(r.record.Service).Add(r.timing.delivered)
	if r.result.Outcome == chicoryhall.OutcomeAnswered {
		m.observe("request_seconds", &r.record, r.config().Timer.Now().Sub(r.startedAt))
	}
}
