package quarantine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/table/tabletest"
)

// reserver makes reservations of one daemon in a table.
type reserver struct {
	self         chicoryhall.DaemonID
	store        *tabletest.Store
	reservations *quarantine.Reservations
	transactions int
}

func newReserver(self chicoryhall.DaemonID, store *tabletest.Store) *reserver {
	return &reserver{self: self, store: store, reservations: quarantine.NewReservations(self)}
}

func (r *reserver) nonce() string {
	r.transactions++
	return fmt.Sprintf("%s-%d", r.self, r.transactions)
}

// reserve returns the reservation, or the reason why there is none.
func (r *reserver) reserve(t must.T, fingerprint quarantine.Fingerprint, now time.Time, endpoints ...chicoryhall.EndpointID) (*quarantine.Reservation, quarantine.Answer) {
	t.Helper()
	for {
		transaction := r.reservations.NewTransaction(r.nonce(), string(r.self), fingerprint, endpoints, now)
		result, err := r.store.Transact(context.Background(), transaction)
		if err == nil {
			made, err := r.reservations.Confirm(transaction, result, now)
			must.NoError(t, err)
			return made, quarantine.Answer{Decision: quarantine.DecisionReserved}
		}
		row, conflict := table.AsConflict(err)
		must.True(t, conflict)
		answer, err := r.reservations.Conflict(row, now)
		must.NoError(t, err)
		if answer.Decision != quarantine.DecisionFree {
			return nil, answer
		}
	}
}

func (r *reserver) release(t must.T, made *quarantine.Reservation, outcome quarantine.TrialOutcome) {
	t.Helper()
	_, err := r.store.Transact(context.Background(), made.NewRelease(r.nonce(), r.self, outcome))
	must.NoError(t, err)
}

// TestReservationsExcludeOthers lets daemons reserve endpoints for suspects while another one holds a reservation.
func TestReservationsExcludeOthers(t *testing.T) {
	cases := []struct {
		name        string
		fingerprint quarantine.Fingerprint
		endpoint    chicoryhall.EndpointID
		after       time.Duration
		want        quarantine.Answer
	}{
		{"another suspect elsewhere", stranger, "c", 0, quarantine.Answer{Decision: quarantine.DecisionReserved}},
		{"another suspect at the same endpoint", stranger, "b", 0, quarantine.Answer{Decision: quarantine.DecisionWait, Busy: []chicoryhall.EndpointID{"b"}}},
		{"the same suspect elsewhere", culprit, "c", 0, quarantine.Answer{Decision: quarantine.DecisionWait}},
		{"an endpoint whose holder is gone", stranger, "b", 15 * time.Second, quarantine.Answer{Decision: quarantine.DecisionReserved}},
		{"a suspect whose holder is gone", culprit, "c", 15 * time.Second, quarantine.Answer{Decision: quarantine.DecisionReserved}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			holder, asking := newReserver("holder", store), newReserver("asking", store)
			held, _ := holder.reserve(t, culprit, lossStart, "a", "b")
			must.NotNil(t, held)
			if c.after > 0 { // The asking daemon has to see the row first, to know how long it is unchanged.
				_, answer := asking.reserve(t, c.fingerprint, lossStart, c.endpoint)
				must.Eq(t, quarantine.DecisionWait, answer.Decision)
			}
			_, answer := asking.reserve(t, c.fingerprint, lossStart.Add(c.after), c.endpoint)
			must.Eq(t, c.want, answer)
		})
	}
}

func TestReleasedEndpointsAreFree(t *testing.T) {
	store := &tabletest.Store{}
	one, two := newReserver("one", store), newReserver("two", store)
	held, _ := one.reserve(t, culprit, lossStart, "a")
	one.release(t, held, quarantine.TrialLost)
	_, answer := two.reserve(t, stranger, lossStart, "a")
	must.Eq(t, quarantine.DecisionReserved, answer.Decision)
}

// TestTrialsAreCounted ends trials of a suspect at two daemons in turn and checks after which it gets no more.
func TestTrialsAreCounted(t *testing.T) {
	lost, passed, notStarted := quarantine.TrialLost, quarantine.TrialPassed, quarantine.TrialNotStarted
	cases := []struct {
		name     string
		outcomes []quarantine.TrialOutcome
		want     quarantine.Decision
	}{
		{"two lost", []quarantine.TrialOutcome{lost, lost}, quarantine.DecisionReserved},
		{"three lost or refused", []quarantine.TrialOutcome{lost, quarantine.TrialRefused, lost}, quarantine.DecisionRefuse},
		{"one of three not started", []quarantine.TrialOutcome{lost, notStarted, lost}, quarantine.DecisionReserved},
		{"none of three started", []quarantine.TrialOutcome{notStarted, notStarted, notStarted}, quarantine.DecisionReserved},
		{"one of four passed", []quarantine.TrialOutcome{lost, lost, passed, lost}, quarantine.DecisionReserved},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			daemons := []*reserver{newReserver("one", store), newReserver("two", store)}
			for i, outcome := range c.outcomes {
				daemon := daemons[i%2]
				made, answer := daemon.reserve(t, culprit, lossStart, "a", "b")
				must.Eq(t, quarantine.DecisionReserved, answer.Decision)
				daemon.release(t, made, outcome)
			}
			for range 2 {
				made, answer := daemons[0].reserve(t, culprit, lossStart, "a", "b")
				must.Eq(t, c.want, answer.Decision)
				if made != nil {
					daemons[0].release(t, made, notStarted)
				}
			}
		})
	}
}

// TestLastTrialInProgressRefusesNobody guards against refusals while a suspect's last trial is running, which may pass: many sound
// requests share a suspect part of their prompts.
func TestLastTrialInProgressRefusesNobody(t *testing.T) {
	cases := []struct {
		name    string
		outcome quarantine.TrialOutcome
		want    quarantine.Decision
	}{
		{"it passes", quarantine.TrialPassed, quarantine.DecisionReserved},
		{"it reaches no endpoint", quarantine.TrialNotStarted, quarantine.DecisionReserved},
		{"it is lost", quarantine.TrialLost, quarantine.DecisionRefuse},
		{"it is refused", quarantine.TrialRefused, quarantine.DecisionRefuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &tabletest.Store{}
			trying, asking := newReserver("trying", store), newReserver("asking", store)
			for range 2 {
				made, _ := trying.reserve(t, culprit, lossStart, "a")
				trying.release(t, made, quarantine.TrialLost)
			}
			last, _ := trying.reserve(t, culprit, lossStart, "a")
			must.NotNil(t, last)
			for _, daemon := range []*reserver{trying, asking} {
				_, answer := daemon.reserve(t, culprit, lossStart, "b")
				must.Eq(t, quarantine.DecisionWait, answer.Decision)
			}
			trying.release(t, last, c.outcome)
			_, answer := asking.reserve(t, culprit, lossStart, "b")
			must.Eq(t, c.want, answer.Decision)
		})
	}
}

func TestReservationEnds(t *testing.T) {
	held, _ := newReserver("one", &tabletest.Store{}).reserve(t, culprit, lossStart, "a")
	must.True(t, held.Valid(lossStart.Add(11*time.Second)))
	must.False(t, held.Valid(lossStart.Add(12*time.Second)))
	var none *quarantine.Reservation
	must.False(t, none.Valid(lossStart))
}
