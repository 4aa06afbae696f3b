package platformdaemon

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// reservationTimeout bounds the calls to the store for one reservation.
	reservationTimeout = 600 * time.Millisecond
	// lostTrialPause is the time from the loss of a trial to the end of its reservation. It is longer than an exchange of
	// reports may be delayed and a crash may take to settle.
	lostTrialPause = 2 * time.Second
)

// trials holds the reservations of this daemon's trials in the store.
type trials struct {
	self  chicoryhall.DaemonID
	timer chicoryhall.Timer
	table chicoryhall.Table
	log   *event.Logger
	// releases are the calls that end reservations.
	releases errgroup.Group

	mu           sync.Mutex
	reservations *quarantine.Reservations
	pace         *quarantine.AskPace
	// held maps attempts to their reservations.
	held map[string]*quarantine.Reservation
}

func newTrials(self chicoryhall.DaemonID, timer chicoryhall.Timer, store chicoryhall.Table, log *event.Logger) *trials {
	return &trials{
		self: self, timer: timer, table: store, log: log,
		reservations: quarantine.NewReservations(self), held: make(map[string]*quarantine.Reservation),
		pace: quarantine.NewAskPace(),
	}
}

// onRestored forgets the rows of others, whose versions the store gives out again after it was restored from a copy.
func (t *trials) onRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reservations = quarantine.NewReservations(t.self)
}

// wait waits for the calls in progress.
func (t *trials) wait() { _ = t.releases.Wait() } // The functions return no errors.

// isHeld reports whether the endpoints of an attempt are reserved for it at now.
func (t *trials) isHeld(attempt string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[attempt].Valid(now)
}

// mayAsk reports whether the store may be asked to reserve endpoints for a fingerprint now, and if so, notes the try.
func (t *trials) mayAsk(fingerprint quarantine.Fingerprint) quarantine.AskDecision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.May(fingerprint, t.timer.Now())
}

// denied notes that the endpoints for a trial of a fingerprint accept no connections.
func (t *trials) denied(fingerprint quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pace.Denied(fingerprint, t.timer.Now())
}

// reserve reserves endpoints for an attempt, and notes whether the store has answered. An error means that it has not.
func (t *trials) reserve(attempt string, fingerprint quarantine.Fingerprint, endpoints []chicoryhall.EndpointID) (quarantine.Answer, error) {
	answer, err := t.tryToReserve(attempt, fingerprint, endpoints)
	now := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.pace.Failed(now)
		return answer, err
	}
	t.pace.Answered(fingerprint, answer.Decision == quarantine.DecisionReserved, now)
	return answer, nil
}

// tryToReserve reserves endpoints for an attempt. It tries again while conflicts show only that rows are free in another
// version than known. An error means that the store cannot be reached.
func (t *trials) tryToReserve(attempt string, fingerprint quarantine.Fingerprint, endpoints []chicoryhall.EndpointID) (quarantine.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	for {
		sent := t.timer.Now()
		t.mu.Lock()
		transaction := t.reservations.NewTransaction(rand.Text(), attempt, fingerprint, endpoints, sent)
		t.mu.Unlock()
		result, err := table.Settle(ctx, t.table, transaction)
		if row, conflict := table.AsConflict(err); conflict {
			answer, err := t.handleConflict(row)
			if err != nil || answer.Decision != quarantine.DecisionFree {
				return answer, err
			}
			continue
		}
		if err != nil {
			return quarantine.Answer{}, err
		}
		return quarantine.Answer{Decision: quarantine.DecisionReserved}, t.hold(attempt, transaction, result, sent)
	}
}

func (t *trials) handleConflict(row table.Row) (quarantine.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reservations.Conflict(row, t.timer.Now())
}

// hold keeps the reservation that a transaction has made.
func (t *trials) hold(attempt string, transaction table.Transaction, result table.Result, sent time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	reservation, err := t.reservations.Confirm(transaction, result, sent)
	if err == nil {
		t.held[attempt] = reservation
	}
	return err
}

// end ends the reservation of an attempt, if there is one. After a lost trial it does so only once all daemons can know
// of the loss: another trial before would show nothing more and may crash endpoints.
func (t *trials) end(attempt string, outcome quarantine.TrialOutcome) {
	if outcome == quarantine.TrialLost {
		t.timer.After(lostTrialPause, func(time.Time) { t.release(attempt, outcome) })
		return
	}
	t.release(attempt, outcome)
}

func (t *trials) release(attempt string, outcome quarantine.TrialOutcome) {
	t.mu.Lock()
	held, ok := t.held[attempt]
	delete(t.held, attempt)
	t.mu.Unlock()
	if !ok {
		return
	}
	t.log.Log(event.TrialEnded, "attempt", attempt, "outcome", outcome, "trials", held.TrialsAfter(outcome))
	t.releases.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
		defer cancel()
		if _, err := t.table.Transact(ctx, held.NewRelease(rand.Text(), t.self, outcome)); err != nil {
			// The other daemons take the rows over once the reservation has expired.
			t.log.Log(event.StoreCallFailed, "step", "release endpoints", "attempt", attempt, "outcome", outcome, "error", err)
		}
		return nil
	})
}
