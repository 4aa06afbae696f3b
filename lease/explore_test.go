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

// The terms of the model, in ticks.
const (
	tick     = time.Second
	duration = 3
	margin   = 1
	pauseMax = 5
	horizon  = 13
	// flight is the most ticks that a write is on its way.
	flight = 1
)

// maxWrites is how many writes each daemon sends that take their time; daemon 1's
// renewals once it holds the lease are answered at once.
var maxWrites = [2]int{1, 1}

// candidate is one daemon; whatever it does not do in a tick, it is paused for.
type candidate struct {
	lease Lease
	// transaction is on its way since sent, until it takes effect or is lost.
	transaction *table.Transaction
	sent        int
	// confirmed is a write that took effect and whose answer is on its way.
	confirmed *table.Transaction
	conflict  bool
	writes    int
}

// world is two daemons, one row and the last order that may still arrive at an engine.
type world struct {
	now        int
	row        table.Row
	daemons    [2]candidate
	lastOrder  [2]int
	overlapped string
}

func at(tickNumber int) time.Time { return time.Unix(0, 0).Add(time.Duration(tickNumber) * tick) }

func start() world {
	w := world{lastOrder: [2]int{-1, -1}}
	w.row = table.Row{Key: "k"}
	for i := range w.daemons {
		w.daemons[i].lease = *New(Config{
			Self: chicoryhall.DaemonID(fmt.Sprint(i)), Key: "k",
			Duration: duration * tick, Margin: margin * tick, MaxPause: pauseMax * tick,
		})
	}
	// Daemon 0 holds the lease from tick 0.
	first := &w.daemons[0].lease
	_ = first.ObserveRow(w.row, at(0))
	transaction := first.NewTransaction("first")
	w.row = table.Row{Key: "k", Value: transaction.Changes[0].Value, Version: 1, Nonce: "first"}
	_ = first.WriteConfirmed(transaction, transaction.Changes[0].IfVersion+1, at(0))
	first.acquired = at(-horizon) // It has held the lease for long and gives orders.
	return w
}

// check is the promise: never two holders, and no late order behind a new holder's.
func (w world) check() error {
	if w.daemons[0].lease.Valid(at(w.now)) && w.daemons[1].lease.Valid(at(w.now)) {
		return fmt.Errorf("both daemons hold the lease at tick %d", w.now)
	}
	if w.overlapped != "" {
		return fmt.Errorf("%s", w.overlapped)
	}
	return nil
}

func (w world) steps() []explore.Step[world] {
	var steps []explore.Step[world]
	for i := range w.daemons {
		steps = append(steps, w.daemonSteps(i)...)
	}
	if w.now < horizon && w.flightsAllow() {
		next := w
		next.now++
		next.order()
		steps = append(steps, explore.Step[world]{Name: fmt.Sprintf("tick %d", next.now), Next: next})
	}
	return steps
}

// flightsAllow keeps writes from being on their way for longer than flight.
func (w world) flightsAllow() bool {
	for _, d := range w.daemons {
		if d.transaction != nil && w.now-d.sent >= flight {
			return false
		}
	}
	return true
}

func (w world) daemonSteps(i int) []explore.Step[world] {
	var steps []explore.Step[world]
	add := func(name string, event func(next *world, d *candidate)) {
		next := w
		event(&next, &next.daemons[i])
		steps = append(steps, explore.Step[world]{Name: fmt.Sprintf("daemon %d %s at tick %d", i, name, w.now), Next: next})
	}
	d := w.daemons[i]
	idle := d.transaction == nil && d.confirmed == nil
	if i == 1 && idle && d.lease.held && d.lease.WriteDue(at(w.now)) {
		add("renews", func(next *world, d *candidate) {
			transaction := d.lease.NewTransaction(fmt.Sprint("renewal at ", next.now))
			d.transaction, d.sent = &transaction, next.now
			next.arrive(d)
			if !d.conflict {
				_ = d.lease.WriteConfirmed(transaction, transaction.Changes[0].IfVersion+1, at(next.now))
			}
			d.confirmed, d.conflict = nil, false
		})
	}
	if idle && (i == 0 || !d.lease.held) {
		add("reads", func(next *world, d *candidate) { _ = d.lease.ObserveRow(next.row, at(next.now)) })
	}
	if idle && d.writes < maxWrites[i] && d.lease.WriteDue(at(w.now)) {
		add("sends a write", func(next *world, d *candidate) {
			transaction := d.lease.NewTransaction(fmt.Sprintf("%d at %d", i, next.now))
			d.transaction, d.sent = &transaction, next.now
			d.writes++
		})
	}
	if d.transaction != nil {
		add("has its write arrive", func(next *world, d *candidate) { next.arrive(d) })
		add("loses its write or the answer", func(next *world, d *candidate) {
			next.arrive(d)
			d.confirmed, d.conflict = nil, false
		})
	}
	if d.confirmed != nil {
		add("gets its answer", func(next *world, d *candidate) {
			if d.conflict {
				_ = d.lease.WriteConflicted(next.row, at(next.now))
			} else {
				_ = d.lease.WriteConfirmed(*d.confirmed, d.confirmed.Changes[0].IfVersion+1, at(d.sent))
			}
			d.confirmed, d.conflict = nil, false
		})
	}
	return steps
}

// order lets each daemon give an order in each tick in which it may: not giving one is weaker.
func (w *world) order() {
	for i := range w.daemons {
		if !w.daemons[i].lease.MayOrder(at(w.now), false) {
			continue
		}
		other := w.lastOrder[1-i]
		if other >= 0 && other+pauseMax > w.now {
			w.overlapped = fmt.Sprintf("an order of daemon %d may arrive behind one of daemon %d given at tick %d", 1-i, i, w.now)
		}
		w.lastOrder[i] = w.now
	}
}

func (w *world) arrive(d *candidate) {
	change := d.transaction.Changes[0]
	d.confirmed, d.conflict = d.transaction, change.IfVersion != w.row.Version
	if !d.conflict {
		w.row = table.Row{Key: "k", Value: change.Value, Version: w.row.Version + 1, Nonce: d.transaction.Nonce}
	}
	d.transaction = nil
}

func (w world) key() string {
	text := fmt.Sprint(w.now, w.row, w.lastOrder, w.overlapped)
	for _, d := range w.daemons {
		text += fmt.Sprint(d.lease, d.conflict, d.writes)
		if d.transaction != nil {
			text += fmt.Sprint("t", d.sent, *d.transaction)
		}
		if d.confirmed != nil {
			text += fmt.Sprint("c", d.sent, *d.confirmed)
		}
	}
	return text
}

func TestNeverTwoHoldersNorLateOrders(t *testing.T) {
	states, err := explore.Run(explore.Model[world]{
		Initial: start(), Key: world.key, Steps: world.steps, Check: world.check, MaxStates: 3_000_000,
	})
	must.NoError(t, err)
	t.Logf("%d states", states)
	must.Greater(t, 1000, states)
}
