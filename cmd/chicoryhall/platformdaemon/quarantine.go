package platformdaemon

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
)

const (
	// lossDelay is the time from a loss to the exchange of reports, so that one exchange covers several. clearanceDelay is
	// longer, as nobody waits for a clearance.
	lossDelay      = 150 * time.Millisecond
	clearanceDelay = 2 * time.Second
	// A suspect that was involved in fewer than maxUnreserved incidents may run without a reservation while the store does
	// not answer.
	maxUnreserved = 3
)

// quarantineService implements passthrough.Quarantine: it decides by the evidence of all daemons, and runs suspects in
// trials.
type quarantineService struct {
	timer    chicoryhall.Timer
	evidence *quarantine.Evidence
	crashes  *crashes
	reports  *crashReports
	trials   *trials
	log      *event.Logger
	work     errgroup.Group
}

func newQuarantineService(evidence *quarantine.Evidence, crashes *crashes, reports *crashReports, trials *trials,
	timer chicoryhall.Timer, log *event.Logger,
) *quarantineService {
	s := &quarantineService{timer: timer, evidence: evidence, crashes: crashes, reports: reports, trials: trials, log: log}
	crashes.onExplained = s.recordCrash
	return s
}

// String returns the name under which the supervisor logs this service.
func (s *quarantineService) String() string { return "quarantine" }

// Serve waits for the calls in progress when ctx ends.
func (s *quarantineService) Serve(ctx context.Context) error {
	<-ctx.Done()
	_ = s.work.Wait() // The functions return no errors.
	s.trials.wait()
	return ctx.Err()
}

// Standing returns what the daemons know of a fingerprint.
func (s *quarantineService) Standing(fingerprint quarantine.Fingerprint, now time.Time) quarantine.Standing {
	return s.evidence.Standing(fingerprint, now)
}

// Lost looks for a crash of the endpoints of a lost attempt.
func (s *quarantineService) Lost(loss quarantine.Loss) {
	loss.Isolated = s.trials.isHeld(loss.Attempt, loss.LostAt)
	s.crashes.Lost(loss)
}

// recordCrash records that attempts were lost in the crash of an endpoint. If other endpoints crashed at the same time,
// the cause may be a common one, so that the crash proves nothing against an isolated suspect, unless it was involved in
// many incidents. The loss of a trial and a new suspect are told to the other daemons at once.
func (s *quarantineService) recordCrash(crash quarantine.Incarnation, lost []quarantine.Loss) {
	now := s.timer.Now()
	suspectsBefore := s.suspectsAmong(lost, now)
	urgent := false
	for _, loss := range lost {
		isolated := loss.Isolated
		urgent = urgent || isolated
		if isolated && s.evidence.Standing(loss.Fingerprint, now).Incidents < maxUnreserved {
			isolated = !s.crashes.crashedElsewhere(loss, now)
		}
		s.evidence.Record(quarantine.Involvement{
			Fingerprint: loss.Fingerprint, Attempt: loss.Attempt, Incarnation: crash, Position: loss.Position,
			Later: loss.Explained, Isolated: isolated,
		}, now)
	}
	if urgent || s.suspectsAmong(lost, now) > suspectsBefore {
		s.reports.exchangeUrgentlyIn(lossDelay, now)
	} else {
		s.reports.exchangeIn(lossDelay, now)
	}
}

// suspectsAmong returns how many of the lost requests are suspects.
func (s *quarantineService) suspectsAmong(lost []quarantine.Loss, now time.Time) int {
	suspects := 0
	for _, loss := range lost {
		if s.evidence.Standing(loss.Fingerprint, now).State != quarantine.StateFree {
			suspects++
		}
	}
	return suspects
}

// Passed clears a fingerprint of crashes. The other daemons are alerted if they may take it for a suspect.
func (s *quarantineService) Passed(fingerprint quarantine.Fingerprint, crashes []quarantine.Incarnation) {
	now := s.timer.Now()
	wasSuspect := s.evidence.Standing(fingerprint, now).State != quarantine.StateFree
	s.evidence.Clear(fingerprint, crashes)
	if wasSuspect {
		s.reports.alertNext()
		s.reports.exchangeIn(lossDelay, now)
		return
	}
	s.reports.writeIn(clearanceDelay)
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
	answer, err := s.trials.reserve(attempt, fingerprint, endpoints)
	if err == nil {
		return answer
	}
	s.log.Log(event.StoreCallFailed, "step", "reserve endpoints", "attempt", attempt, "error", err)
	if s.evidence.Standing(fingerprint, s.timer.Now()).Incidents < maxUnreserved {
		return quarantine.Answer{Decision: quarantine.DecisionFree}
	}
	return quarantine.Answer{Decision: quarantine.DecisionWait}
}

// Release ends the reservation of an attempt, if there is one.
func (s *quarantineService) Release(attempt string, outcome quarantine.TrialOutcome) {
	s.trials.end(attempt, outcome)
}

// writeMetrics writes the numbers of suspect and convicted fingerprints.
func (s *quarantineService) writeMetrics(w io.Writer) {
	suspects, convicted := s.evidence.Counts(s.timer.Now())
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_suspects", uint64(suspects))
	metrics.WriteGaugeUint64(w, "chicoryhall_quarantine_convicted", uint64(convicted))
}
