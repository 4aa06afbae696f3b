package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/explore"
	"chicoryhall.example/chicoryhall/table"
)

// The configuration of the model: one tick as a duration, the others in ticks.
const (
	tick          = time.Second
	duration      = 3
	margin        = 1
	maxOrderDelay = 5
	lastTick      = 13
	// maxWriteTicks is the longest time that a write takes to arrive.
	maxWriteTicks = 1
)

// maxWrites is how many writes each daemon sends whose arrival and answer are steps of their own.
// In between, other steps may happen. Renewals by daemon 1 are not counted: each is a single step
// that includes arrival and answer.
var maxWrites = [2]int{1, 1}

// daemon is one daemon. In a tick in which it takes no step, it is paused.
type daemon struct {
	lease Lease
	// transaction is a write on its way, sent at the tick in sent.
	transaction *table.Transaction
	sent        int
	// delivered is a write that has arrived, while its answer is on its way. With conflict set it
	// had no effect.
	delivered *table.Transaction
	conflict  bool
	writes    int
}

// state is the state of the model: two daemons, the row, and the tick at which each daemon last
// sent an order.
type state struct {
	now       int
	row       table.Row
	daemons   [2]daemon
	lastOrder [2]int
	// violation describes an order that may arrive too late, or is empty.
	violation string
}

func timeOf(tickNumber int) time.Time { return time.Unix(0, 0).Add(time.Duration(tickNumber) * tick) }

func initialState() state {
	s := state{lastOrder: [2]int{-1, -1}}
	s.row = table.Row{Key: "k"}
	for i := range s.daemons {
		s.daemons[i].lease = *New(Config{
			Self: chicoryhall.DaemonID(fmt.Sprint(i)), Key: "k",
			Duration: duration * tick, Margin: margin * tick, MaxOrderDelay: maxOrderDelay * tick,
		})
	}
	// Daemon 0 holds the lease from tick 0.
	first := &s.daemons[0].lease
	_ = first.ObserveRow(s.row, timeOf(0))
	transaction := first.NewTransaction("first")
	s.row = table.Row{Key: "k", Value: transaction.Changes[0].Value, Version: 1, Nonce: "first"}
	_ = first.WriteConfirmed(transaction, transaction.Changes[0].IfVersion+1, timeOf(0))
	first.acquisitionSentAt = timeOf(-lastTick) // It has held the lease for so long that it may send orders.
	return s
}

// check checks the invariants: there are never two holders, and no order of an old holder can
// arrive after one of a new holder.
func (s state) check() error {
	if s.daemons[0].lease.Valid(timeOf(s.now)) && s.daemons[1].lease.Valid(timeOf(s.now)) {
		return fmt.Errorf("both daemons hold the lease at tick %d", s.now)
	}
	if s.violation != "" {
		return fmt.Errorf("%s", s.violation)
	}
	return nil
}

func (s state) steps() []explore.Step[state] {
	var steps []explore.Step[state]
	for i := range s.daemons {
		steps = append(steps, s.daemonSteps(i)...)
	}
	if s.now < lastTick && s.mayTick() {
		next := s
		next.now++
		next.sendOrders()
		steps = append(steps, explore.Step[state]{Name: fmt.Sprintf("tick %d", next.now), Next: next})
	}
	return steps
}

// mayTick reports whether time may advance: not while a write has been on its way for
// maxWriteTicks.
func (s state) mayTick() bool {
	for _, d := range s.daemons {
		if d.transaction != nil && s.now-d.sent >= maxWriteTicks {
			return false
		}
	}
	return true
}

// daemonSteps returns the steps that one daemon can take in the current tick. Daemon 0 reads the
// row at any time and renews in the separate steps of a write. Daemon 1 reads it only while it is
// not the holder and also renews in a single step, which leaves fewer states to explore.
func (s state) daemonSteps(i int) []explore.Step[state] {
	var steps []explore.Step[state]
	add := func(name string, apply func(next *state, d *daemon)) {
		next := s
		apply(&next, &next.daemons[i])
		steps = append(steps, explore.Step[state]{Name: fmt.Sprintf("daemon %d %s at tick %d", i, name, s.now), Next: next})
	}
	d := s.daemons[i]
	noneInFlight := d.transaction == nil && d.delivered == nil
	if i == 1 && noneInFlight && d.lease.held && d.lease.WriteDue(timeOf(s.now)) {
		add("renews", func(next *state, d *daemon) {
			transaction := d.lease.NewTransaction(fmt.Sprint("renewal at ", next.now))
			d.transaction, d.sent = &transaction, next.now
			next.deliverWrite(d)
			if !d.conflict {
				_ = d.lease.WriteConfirmed(transaction, transaction.Changes[0].IfVersion+1, timeOf(next.now))
			}
			d.delivered, d.conflict = nil, false
		})
	}
	if noneInFlight && (i == 0 || !d.lease.held) {
		add("reads", func(next *state, d *daemon) { _ = d.lease.ObserveRow(next.row, timeOf(next.now)) })
	}
	if noneInFlight && d.writes < maxWrites[i] && d.lease.WriteDue(timeOf(s.now)) {
		add("sends a write", func(next *state, d *daemon) {
			transaction := d.lease.NewTransaction(fmt.Sprintf("%d at %d", i, next.now))
			d.transaction, d.sent = &transaction, next.now
			d.writes++
		})
	}
	if d.transaction != nil {
		add("has its write arrive", func(next *state, d *daemon) { next.deliverWrite(d) })
		// A write that is lost on its way changes nothing, so only the answer is lost here.
		add("loses the answer to its write", func(next *state, d *daemon) {
			next.deliverWrite(d)
			d.delivered, d.conflict = nil, false
		})
	}
	if d.delivered != nil {
		add("gets its answer", func(next *state, d *daemon) {
			if d.conflict {
				_ = d.lease.WriteConflicted(next.row, timeOf(next.now))
			} else {
				_ = d.lease.WriteConfirmed(*d.delivered, d.delivered.Changes[0].IfVersion+1, timeOf(d.sent))
			}
			d.delivered, d.conflict = nil, false
		})
	}
	return steps
}

// sendOrders lets each daemon send an order in every tick in which it may. This covers the cases in
// which a daemon sends fewer orders: only the last order of a daemon is checked against those of
// the other, so an order left out could only make that check weaker.
func (s *state) sendOrders() {
	for i := range s.daemons {
		if !s.daemons[i].lease.MayOrder(timeOf(s.now), false) {
			continue
		}
		other := s.lastOrder[1-i]
		if other >= 0 && other+maxOrderDelay > s.now {
			s.violation = fmt.Sprintf("an order of daemon %d may arrive after one of daemon %d sent at tick %d", 1-i, i, s.now)
		}
		s.lastOrder[i] = s.now
	}
}

// deliverWrite applies a write to the row if the row has the version that the write expects.
func (s *state) deliverWrite(d *daemon) {
	change := d.transaction.Changes[0]
	d.delivered, d.conflict = d.transaction, change.IfVersion != s.row.Version
	if !d.conflict {
		s.row = table.Row{Key: "k", Value: change.Value, Version: s.row.Version + 1, Nonce: d.transaction.Nonce}
	}
	d.transaction = nil
}

// key returns a text that identifies a state. States with the same key are explored only once, so it
// contains everything that affects later steps and check. The mark t precedes a write on its way
// (transaction), c one whose answer is on its way (delivered).
func (s state) key() string {
	text := fmt.Sprint(s.now, s.row, s.lastOrder, s.violation)
	for _, d := range s.daemons {
		text += fmt.Sprint(d.lease, d.conflict, d.writes)
		if d.transaction != nil {
			text += fmt.Sprint("t", d.sent, *d.transaction)
		}
		if d.delivered != nil {
			text += fmt.Sprint("c", d.sent, *d.delivered)
		}
	}
	return text
}

// TestNeverTwoHoldersNorLateOrders explores every reachable state of the model.
func TestNeverTwoHoldersNorLateOrders(t *testing.T) {
	states, err := explore.Run(explore.Model[state]{
		Initial: initialState(), Key: state.key, Steps: state.steps, Check: state.check, MaxStates: 3_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
