package passthrough

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/stall"
)

// Metrics holds the metrics of a Server.
type Metrics struct {
	set              *metrics.Set
	connections      *metrics.Counter
	refusedExchanges *metrics.Counter
	quarantined      *metrics.Counter
	handedOver       *metrics.Counter
	stalled          *metrics.Counter
	hedges           *metrics.Counter
	hedgesAhead      *metrics.Counter
	pauses           *metrics.Counter
	revokedSends     *metrics.Counter
	heldBack         *metrics.Counter
	falseRefusals    *metrics.Counter
	reroutes         *metrics.Counter
	reroutesFailed   *metrics.Counter
	pausedReads      *metrics.Counter
}

// NewMetrics returns Metrics with all counters at zero.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:              set,
		connections:      set.NewCounter("chicoryhall_endpoint_connections_total"),
		quarantined:      set.NewCounter("chicoryhall_quarantine_refused_total"),
		handedOver:       set.NewCounter("chicoryhall_exchanges_handed_over_total"),
		stalled:          set.NewCounter("chicoryhall_attempts_stalled_total"),
		hedges:           set.NewCounter("chicoryhall_hedges_total"),
		hedgesAhead:      set.NewCounter("chicoryhall_hedges_ahead_total"),
		revokedSends:     set.NewCounter("chicoryhall_sends_revoked_total"),
		falseRefusals:    set.NewCounter("chicoryhall_ran_after_refusal_total"),
		heldBack:         set.NewCounter("chicoryhall_answers_held_back_total"),
		reroutes:         set.NewCounter("chicoryhall_reroutes_total"),
		reroutesFailed:   set.NewCounter("chicoryhall_reroutes_failed_total"),
		pausedReads:      set.NewCounter("chicoryhall_reads_paused_total"),
		pauses:           set.NewCounter("chicoryhall_endpoint_pauses_total"),
		refusedExchanges: set.NewCounter("chicoryhall_exchanges_refused_total"),
	}
}

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (m *Metrics) exchangeRefused() { m.refusedExchanges.Inc() }

// requestQuarantined counts a request that is not run because requests with its content crash endpoints.
func (m *Metrics) requestQuarantined() { m.quarantined.Inc() }

// requestHandedOver counts a request that another daemon runs.
func (m *Metrics) requestHandedOver() { m.handedOver.Inc() }

// attemptStalled counts an attempt that counts as stalled for a cause. isFirst is set for the first cause of a stall.
func (m *Metrics) attemptStalled(cause stall.Cause, isFirst bool) {
	if isFirst {
		m.stalled.Inc()
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_stalls_total{cause=%q}", cause)).Inc()
}

// rerouteOrdered counts an order to go on with a stream at other engines, and rerouteFailed one that was not accepted.
func (m *Metrics) rerouteOrdered() { m.reroutes.Inc() }

func (m *Metrics) rerouteFailed() { m.reroutesFailed.Inc() }

// hedgeStarted counts an attempt that runs beside one that has stalled for a cause.
func (m *Metrics) hedgeStarted(cause stall.Cause) {
	m.hedges.Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_hedges_by_cause_total{cause=%q}", cause)).Inc()
}

// hedgeBehind counts a hedge that was not needed, as the attempt that had stalled for a cause has gone on first.
func (m *Metrics) hedgeBehind(cause stall.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_hedges_behind_total{cause=%q}", cause)).Inc()
}

// pauseSeen counts a pause of an answer that was longer than its target.
func (m *Metrics) pauseSeen(phase string, cause stall.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_pauses_total{phase=%q,cause=%q}", phase, pauseCauseText(true, cause))).Inc()
}

// attemptDenied counts a request for which no further attempt was made for a reason.
func (m *Metrics) attemptDenied(reason stall.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_further_attempts_denied_total{reason=%q}", reason)).Inc()
}

// hedgeAhead counts a hedge that has gone on with the answer before the stalled attempt did.
func (m *Metrics) hedgeAhead() { m.hedgesAhead.Inc() }

// messageRefused counts an answer to a message that is not a valid request.
func (m *Metrics) messageRefused(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_messages_refused_total{status=\"%d\"}", status)).Inc()
}

// retryRequested counts a retry of a service's request that its budget allowed or refused.
func (m *Metrics) retryRequested(service chicoryhall.ServiceName, allowed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_retries_total{service=%q,allowed=\"%t\"}", service, allowed)).Inc()
}

// pauseAsked counts an answer of an endpoint that wants no requests for some time.
func (m *Metrics) pauseAsked() { m.pauses.Inc() }

// sendRevoked counts a request that was not sent, as it ended while its connection was being opened.
func (m *Metrics) sendRevoked() { m.revokedSends.Inc() }

// answerHeldBack counts a time that an endpoint had to wait as the caller reads too slowly.
func (m *Metrics) answerHeldBack() { m.heldBack.Inc() }

// readingPaused counts a time that a caller had to wait as it has sent too much ahead.
func (m *Metrics) readingPaused() { m.pausedReads.Inc() }

// connectionShed counts a caller's connection that was given up, or not accepted, for lack of a resource: memory or descriptors.
func (m *Metrics) connectionShed(resource string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_connections_shed_total{lack=%q}", resource)).Inc()
}

// ranAfterRefusal counts a request that an endpoint has answered after it had refused it.
func (m *Metrics) ranAfterRefusal() { m.falseRefusals.Inc() }

// exchangeEnded counts an exchange and its duration.
func (m *Metrics) exchangeEnded(class chicoryhall.ClassName, status int, duration time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("chicoryhall_exchanges_total{class=%q,status=\"%d\"}", class, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("chicoryhall_exchange_seconds{class=%q}", class)).Update(duration.Seconds())
}
