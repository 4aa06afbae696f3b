package platformdaemon

import (
	"context"
	"crypto/rand"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// reportPrefix is the key prefix of the daemons' reports on crashes in the table.
	reportPrefix = "quarantine/"
	// lossDelay is the time from a loss to the exchange of reports, so that one exchange covers several. clearanceDelay is
	// longer, as nobody waits for a clearance.
	lossDelay      = 150 * time.Millisecond
	clearanceDelay = 2 * time.Second
	// settleDelay is the time to another exchange, which shows what other daemons have reported of the same crash.
	settleDelay = 800 * time.Millisecond
	// minExchangePause and maxExchangePause bound the pause after an exchange that failed, which doubles each time.
	minExchangePause = 400 * time.Millisecond
	maxExchangePause = 3 * time.Second
	// exchangeTimeout bounds one call to the store for an exchange; reservationTimeout bounds a reservation.
	exchangeTimeout    = time.Second
	reservationTimeout = 600 * time.Millisecond
	// sweepPeriod is the time between two searches for rows that daemons which are gone have left. A row of a daemon is
	// removed daemonRowRetention after its last change, and one of a reservation after reservationRetention.
	sweepPeriod          = 10 * time.Minute
	daemonRowRetention   = quarantine.ConvictionLifetime + 15*time.Minute
	reservationRetention = quarantine.InvolvementLifetime
	// A suspect may run without a reservation, if the store does not answer, unless it was involved in maxUnreserved
	// incidents before.
	maxUnreserved = 3
)

// quarantineService implements passthrough.Quarantine. Each daemon writes what it knows of crashes first hand to a row of
// its own, its report, and reads the others' reports after a loss. Once a request is suspect, it alerts all daemons, so
// that they read the reports as well.
type quarantineService struct {
	self     chicoryhall.DaemonID
	timer    chicoryhall.Timer
	table    chicoryhall.Table
	evidence *quarantine.Evidence
	crashes  *crashes
	log      *event.Logger
	work     errgroup.Group
	// readDue is signalled when the reports have to be exchanged, and writeDue when the own report has to be written.
	readDue  chan struct{}
	writeDue chan struct{}

	mu           sync.Mutex
	reservations *quarantine.Reservations
	// held maps attempts to their reservations.
	held map[string]*quarantine.Reservation
	// alertDue is set if the other daemons have to learn of a change of the own report.
	alertDue bool

	// The fields below are only used by Serve.

	// written is the report in the store, version the version of its row, and alerted the part of it that the other
	// daemons have been alerted of.
	written quarantine.Report
	version int64
	alerted []quarantine.Involvement
	// failures counts the exchanges that failed in a row.
	failures int
}

func newQuarantineService(self chicoryhall.DaemonID, timer chicoryhall.Timer, store chicoryhall.Table, crashes *crashes, log *event.Logger) *quarantineService {
	s := &quarantineService{
		self: self, timer: timer, table: store, evidence: quarantine.NewEvidence(self), crashes: crashes, log: log,
		readDue: make(chan struct{}, 1), writeDue: make(chan struct{}, 1),
		reservations: quarantine.NewReservations(self), held: make(map[string]*quarantine.Reservation),
	}
	crashes.onExplained = s.recordCrash
	return s
}

// String returns the name under which the supervisor logs this service.
func (s *quarantineService) String() string { return "quarantine" }

// Serve exchanges the reports with the other daemons until ctx ends.
func (s *quarantineService) Serve(ctx context.Context) error {
	sweepDue := make(chan struct{}, 1)
	ticks := s.timer.Every(sweepPeriod, func(time.Time) { signal(sweepDue) })
	defer ticks.Cancel()
	rows := []staleRows{
		{reportPrefix, table.NewStaleRows(daemonRowRetention)},
		{platform.AlertPrefix, table.NewStaleRows(daemonRowRetention)},
		{quarantine.ReservationPrefix, table.NewStaleRows(reservationRetention)},
	}
	signal(s.readDue)
	for {
		select {
		case <-ctx.Done():
			_ = s.work.Wait() // The functions return no errors.
			return ctx.Err()
		case <-s.readDue:
			s.exchange(ctx)
		case <-s.writeDue:
			s.retryUnless(s.writeReport(ctx))
		case <-sweepDue:
			s.evidence.Expire(s.timer.Now())
			s.retryUnless(s.writeReport(ctx))
			for _, stale := range rows {
				s.sweep(ctx, stale)
			}
		}
	}
}

// signal sends to a channel unless a value waits there already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// signalIn signals a channel after a delay.
func (s *quarantineService) signalIn(delay time.Duration, channel chan<- struct{}) {
	s.timer.After(delay, func(time.Time) { signal(channel) })
}

// retryUnless makes Serve exchange the reports again after a pause, unless the last call succeeded.
func (s *quarantineService) retryUnless(succeeded bool) {
	if succeeded {
		s.failures = 0
		return
	}
	s.signalIn(min(maxExchangePause, minExchangePause<<min(s.failures, 8)), s.readDue) // Bounded to avoid an overflow.
	s.failures++
}

// exchange writes this daemon's report, reads those of all daemons, and alerts the others if need be. The first time, it
// reads before it writes: the report that an earlier process of this daemon has left would be lost otherwise.
func (s *quarantineService) exchange(ctx context.Context) {
	succeeded := !s.evidence.Adopted() || s.writeReport(ctx)
	succeeded = succeeded && s.readReports(ctx) && s.writeReport(ctx) && s.alert(ctx)
	s.retryUnless(succeeded)
	if succeeded && s.evidence.HasUnsettled(s.timer.Now()) {
		s.signalIn(settleDelay, s.readDue)
	}
}

// readReports reads the reports of all daemons and reports whether it succeeded.
func (s *quarantineService) readReports(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := s.table.Rows(ctx, reportPrefix)
	if err != nil {
		s.logFailure("read the reports on crashes", err)
		return false
	}
	reports := make(map[chicoryhall.DaemonID]quarantine.Report, len(rows))
	for _, row := range rows {
		report, err := table.DecodeValue[quarantine.Report](row)
		if err != nil {
			s.log.Log(event.RowUnreadable, "row", row.Key, "version", row.Version, "error", err)
			continue
		}
		reports[chicoryhall.DaemonID(strings.TrimPrefix(row.Key, reportPrefix))] = report
	}
	s.evidence.Replace(reports, s.timer.Now())
	return true
}

// writeReport writes this daemon's report if it differs from the one in the store, and reports whether it succeeded. The
// write depends on the row's version, as one without an answer may take effect late.
func (s *quarantineService) writeReport(ctx context.Context) bool {
	report := s.evidence.Own(s.timer.Now())
	if reflect.DeepEqual(report, s.written) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	change := table.Change{Key: reportPrefix + string(s.self), IfVersion: s.version, Value: table.EncodeValue(report)}
	result, err := s.transact(ctx, change)
	if row, conflict := table.AsConflict(err); conflict {
		// The row is from an earlier process, or from a write whose answer was lost.
		change.IfVersion = row.Version
		result, err = s.transact(ctx, change)
	}
	if err != nil {
		s.logFailure("write the report on crashes", err)
		return false
	}
	s.written, s.version = report, result.Versions[0]
	return true
}

// alert writes an alert if the other daemons have to know of a change of this daemon's report, and reports whether that
// succeeded or was not needed.
func (s *quarantineService) alert(ctx context.Context) bool {
	suspicious := s.evidence.Suspicious(s.timer.Now())
	s.mu.Lock()
	due := s.alertDue
	s.mu.Unlock()
	if !due && slices.Equal(suspicious, s.alerted) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if _, err := s.transact(ctx, table.Change{Key: platform.AlertKey(s.self), IfVersion: table.AnyVersion}); err != nil {
		s.logFailure("alert the other daemons", err)
		return false
	}
	s.alerted = suspicious
	s.mu.Lock()
	s.alertDue = false
	s.mu.Unlock()
	return true
}

// onAlert handles the alert of another daemon.
func (s *quarantineService) onAlert(from chicoryhall.DaemonID) {
	s.log.Log(event.CrashAlertReceived, "from", from)
	signal(s.readDue)
}

func (s *quarantineService) transact(ctx context.Context, change table.Change) (table.Result, error) {
	return s.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
}

// logFailure logs the first of several failures in a row.
func (s *quarantineService) logFailure(step string, err error) {
	if s.failures == 0 {
		s.log.Log(event.StoreCallFailed, "step", step, "error", err)
	}
}

// staleRows are the rows with a prefix, some of which daemons that are gone may have left.
type staleRows struct {
	prefix string
	rows   *table.StaleRows
}

func newStaleRows(prefix string, lifetime time.Duration) staleRows {
	return staleRows{prefix: prefix, rows: table.NewStaleRows(lifetime)}
}

// sweep removes the rows that are stale.
func (s *quarantineService) sweep(ctx context.Context, stale staleRows) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := s.table.Rows(ctx, stale.prefix)
	if err != nil {
		s.logFailure("look for stale rows", err)
		return
	}
	for _, removal := range stale.rows.Observe(rows, s.timer.Now()) {
		if removal.Key == reportPrefix+string(s.self) {
			continue
		}
		_, err := s.transact(ctx, removal)
		if _, conflict := table.AsConflict(err); err != nil && !conflict {
			s.logFailure("remove the stale row "+removal.Key, err)
		}
	}
}

// Standing returns what the daemons know of a fingerprint.
func (s *quarantineService) Standing(fingerprint quarantine.Fingerprint, now time.Time) quarantine.Standing {
	return s.evidence.Standing(fingerprint, now)
}

// Lost looks for a crash of the endpoints of a lost attempt.
func (s *quarantineService) Lost(loss quarantine.Loss) {
	s.mu.Lock()
	loss.Isolated = s.held[loss.Attempt].Valid(loss.LostAt)
	s.mu.Unlock()
	s.crashes.Lost(loss)
}

// recordCrash records that attempts were lost in the crash of an endpoint. If other endpoints crashed at the same time,
// the cause may be a common one, so that the crash proves nothing against an isolated suspect, unless it was involved in
// many incidents.
func (s *quarantineService) recordCrash(crash quarantine.Incarnation, lost []quarantine.Loss) {
	now := s.timer.Now()
	for _, loss := range lost {
		isolated := loss.Isolated
		if isolated && s.evidence.Standing(loss.Fingerprint, now).Incidents < maxUnreserved {
			isolated = !s.crashes.crashedElsewhere(loss, now)
		}
		s.evidence.Record(quarantine.Involvement{
			Fingerprint: loss.Fingerprint, Attempt: loss.Attempt, Incarnation: crash, Position: loss.Position, Isolated: isolated,
		}, now)
	}
	s.signalIn(lossDelay, s.readDue)
}

// Passed clears a fingerprint of crashes. The other daemons are alerted if they may take it for a suspect.
func (s *quarantineService) Passed(fingerprint quarantine.Fingerprint, crashes []quarantine.Incarnation) {
	wasSuspect := s.evidence.Standing(fingerprint, s.timer.Now()).State != quarantine.StateFree
	s.evidence.Clear(fingerprint, crashes)
	if !wasSuspect {
		s.signalIn(clearanceDelay, s.writeDue)
		return
	}
	s.mu.Lock()
	s.alertDue = true
	s.mu.Unlock()
	s.signalIn(lossDelay, s.readDue)
}

// Reserve reserves the endpoints of a route for an attempt of a suspect.
func (s *quarantineService) Reserve(attempt string, fingerprint quarantine.Fingerprint, stages []quarantine.Stage,
	decided func(quarantine.Answer),
) {
	s.work.Go(func() error {
		decided(s.reserve(attempt, fingerprint, stages))
		return nil
	})
}

func (s *quarantineService) reserve(attempt string, fingerprint quarantine.Fingerprint, stages []quarantine.Stage) quarantine.Answer {
	if gone := s.crashes.unreachable(stages); len(gone) > 0 {
		return quarantine.Answer{Decision: quarantine.DecisionWait, Busy: gone}
	}
	endpoints := make([]chicoryhall.EndpointID, 0, len(stages))
	for _, stage := range stages {
		endpoints = append(endpoints, stage.Endpoint)
	}
	answer, err := s.writeReservation(attempt, fingerprint, endpoints)
	if err == nil {
		return answer
	}
	s.log.Log(event.StoreCallFailed, "step", "reserve endpoints", "attempt", attempt, "error", err)
	if s.evidence.Standing(fingerprint, s.timer.Now()).Incidents < maxUnreserved {
		return quarantine.Answer{Decision: quarantine.DecisionFree}
	}
	return quarantine.Answer{Decision: quarantine.DecisionWait}
}

// writeReservation writes the rows of a reservation. It tries again while conflicts show only that rows are free in another
// version than known.
func (s *quarantineService) writeReservation(attempt string, fingerprint quarantine.Fingerprint, endpoints []chicoryhall.EndpointID) (quarantine.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	for {
		sent := s.timer.Now()
		s.mu.Lock()
		transaction := s.reservations.NewTransaction(rand.Text(), attempt, fingerprint, endpoints, sent)
		s.mu.Unlock()
		result, err := table.Settle(ctx, s.table, transaction)
		if row, conflict := table.AsConflict(err); conflict {
			answer, err := s.handleConflict(row)
			if err != nil || answer.Decision != quarantine.DecisionFree {
				return answer, err
			}
			continue
		}
		if err != nil {
			return quarantine.Answer{}, err
		}
		return quarantine.Answer{Decision: quarantine.DecisionReserved}, s.hold(attempt, transaction, result, sent)
	}
}

func (s *quarantineService) handleConflict(row table.Row) (quarantine.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservations.Conflict(row, s.timer.Now())
}

// hold keeps the reservation that a transaction has made.
func (s *quarantineService) hold(attempt string, transaction table.Transaction, result table.Result, sent time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	reservation, err := s.reservations.Confirm(transaction, result, sent)
	if err == nil {
		s.held[attempt] = reservation
	}
	return err
}

// Release ends the reservation of an attempt.
func (s *quarantineService) Release(attempt string, outcome quarantine.TrialOutcome) {
	s.mu.Lock()
	held, ok := s.held[attempt]
	delete(s.held, attempt)
	s.mu.Unlock()
	if !ok {
		return
	}
	s.work.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		defer cancel()
		if _, err := s.table.Transact(ctx, held.NewRelease(rand.Text(), s.self, outcome)); err != nil {
			// The other daemons take the rows over once the reservation has expired.
			s.log.Log(event.StoreCallFailed, "step", "release endpoints", "attempt", attempt, "outcome", outcome, "error", err)
		}
		return nil
	})
}

// writeMetrics writes the numbers of suspect and convicted fingerprints.
func (s *quarantineService) writeMetrics(w io.Writer) {
	suspects, convicted := s.evidence.Counts(s.timer.Now())
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_suspects", uint64(suspects))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_convicted", uint64(convicted))
}
