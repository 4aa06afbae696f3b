package platformdaemon

import (
	"context"
	"io"
	"slices"
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
	passes   *quarantine.Passes
	log      *event.Logger
	work     errgroup.Group
}

func newQuarantineService(evidence *quarantine.Evidence, crashes *crashes, reports *crashReports, trials *trials,
	timer chicoryhall.Timer, log *event.Logger,
) *quarantineService {
	s := &quarantineService{timer: timer, evidence: evidence, crashes: crashes, reports: reports, trials: trials, passes: quarantine.NewPasses(), log: log}
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

// Standing returns what the daemons know of a content. If that leaves the content free, this daemon's own losses whose cause is not
// known yet count as well.
func (s *quarantineService) Standing(content quarantine.Content, now time.Time) quarantine.Standing {
	standing := s.evidence.ContentStanding(content, now)
	if standing.State != quarantine.StateFree {
		return standing
	}
	return standing.WithPending(content.Whole, s.crashes.pending(content.Whole, now))
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
	s.passes.AddLoss(partsOf(lost), now)
	for _, loss := range lost {
		isolated := loss.Isolated
		urgent = urgent || isolated
		if isolated && s.evidence.Standing(loss.Subject, now).Incidents < maxUnreserved {
			isolated = !s.crashes.crashedElsewhere(loss, now)
		}
		s.recordLoss(crash, loss, isolated, now)
	}
	if urgent || s.suspectsAmong(lost, now) > suspectsBefore {
		s.reports.exchangeUrgentlyIn(lossDelay, now)
	} else {
		s.reports.exchangeIn(lossDelay, now)
	}
}

// recordLoss records that a request was lost in a crash: its whole content, and the parts of its prompt that have not lately
// been harmless.
func (s *quarantineService) recordLoss(crash quarantine.Incarnation, loss quarantine.Loss, isolated bool, now time.Time) {
	involvement := quarantine.Involvement{
		Fingerprint: loss.Fingerprint, Attempt: loss.Attempt, Incarnation: crash, Position: loss.Position, Events: loss.Events,
		Later: loss.Explained, Isolated: isolated && loss.Subject == loss.Fingerprint,
	}
	s.evidence.Record(involvement, now)
	for _, part := range loss.Parts {
		if s.passes.IsHarmless(part, now) {
			continue
		}
		involvement.Fingerprint, involvement.Content, involvement.Position = part, loss.Fingerprint, 0
		involvement.Events = 0
		involvement.Isolated = isolated && loss.Subject == part
		s.evidence.Record(involvement, now)
	}
}

// partsOf returns the parts of the prompts of lost requests, each once.
func partsOf(lost []quarantine.Loss) []quarantine.Fingerprint {
	var parts []quarantine.Fingerprint
	for _, loss := range lost {
		for _, part := range loss.Parts {
			if !slices.Contains(parts, part) {
				parts = append(parts, part)
			}
		}
	}
	return parts
}

// suspectsAmong returns how many of the lost requests are suspects.
func (s *quarantineService) suspectsAmong(lost []quarantine.Loss, now time.Time) int {
	suspects := 0
	for _, loss := range lost {
		content := quarantine.Content{Whole: loss.Fingerprint, Parts: loss.Parts}
		if s.evidence.ContentStanding(content, now).State != quarantine.StateFree {
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

// Began returns what the answer to a prompt with the given parts withdraws if it goes on beyond its beginning.
func (s *quarantineService) Began(parts []quarantine.Fingerprint, isTrial bool) []quarantine.Clearance {
	return s.evidence.Began(parts, isTrial, s.timer.Now())
}

// WentOn records that an answer to a prompt with the given parts has gone on beyond its beginning, and withdraws what Began
// returned. The other daemons are alerted if they may take one of the parts for a suspect.
func (s *quarantineService) WentOn(parts []quarantine.Fingerprint, withdrawn []quarantine.Clearance) {
	now := s.timer.Now()
	s.passes.Add(parts, now)
	wasSuspect, isShared := false, false
	for _, one := range withdrawn {
		before := s.evidence.Standing(one.Fingerprint, now)
		wasSuspect = wasSuspect || before.State != quarantine.StateFree
		isShared = isShared || before.Incidents > 1
		s.evidence.Clear(one.Fingerprint, []quarantine.Incarnation{one.Incarnation})
	}
	switch {
	case wasSuspect:
		s.reports.alertNext()
		s.reports.exchangeUrgentlyIn(lossDelay, now)
	case isShared:
		s.reports.writeIn(clearanceDelay)
	}
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
	switch s.trials.mayAsk(fingerprint) {
	case quarantine.AskLater:
		return quarantine.Answer{Decision: quarantine.DecisionWait}
	case quarantine.AskStoreBusy:
		return s.withoutStore(fingerprint)
	case quarantine.AskNow:
	}
	if gone := s.crashes.unreachable(stages); len(gone) > 0 {
		s.trials.denied(fingerprint)
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
	return s.withoutStore(fingerprint)
}

// withoutStore returns what a suspect may do while the store makes no reservations.
func (s *quarantineService) withoutStore(fingerprint quarantine.Fingerprint) quarantine.Answer {
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
