package lease

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// driftDivisor gives the allowance for clock drift: a candidate waits Duration/driftDivisor longer
// than Duration, because the holder's clock may run slower than its own by one part in
// driftDivisor.
const driftDivisor = 10

// renewalsPerLease is how many times a holder renews the lease within its duration.
const renewalsPerLease = 3

// Config configures a Lease. All daemons that compete for a lease must have the same Key, Duration,
// Margin and MaxOrderDelay, because each relies on the times of the others.
type Config struct {
	Self chicoryhall.DaemonID
	// Key is the key of the lease's row in the table.
	Key string
	// Duration is how long a lease lasts from the sending of the holder's last confirmed write.
	Duration time.Duration
	// Margin is how long before that end the holder no longer regards the lease as valid.
	Margin time.Duration
	// MaxOrderDelay bounds the time between a holder's check of its lease and the arrival of the
	// order that it then sends, which includes both pauses of the process and the time on the
	// network. If it is exceeded, an endpoint without fencing may get a late order of an old
	// holder.
	MaxOrderDelay time.Duration
}

// rowValue is the content of the lease's row.
type rowValue struct {
	Holder chicoryhall.DaemonID `json:"holder"`
	Fence  int64                `json:"fence"`
}

// Lease is one daemon's view of the lease. It is not safe for concurrent use.
type Lease struct {
	config Config
	// lastRow is the row as last read while this daemon was not the holder, and lastValue its
	// decoded value. It has been unchanged since unchangedSince by this daemon's clock.
	lastRow        table.Row
	lastValue      rowValue
	unchangedSince time.Time
	hasLastRow     bool
	// highestFence is the highest fencing number known from the table and from endpoints.
	highestFence int64

	// held tells whether this daemon has acquired the lease and has not seen since that the row has
	// changed or that a higher fencing number exists. It stays set when the lease expires, see
	// Valid. Such a daemon may still renew the lease without waiting: the renewal takes effect only
	// if the row is unchanged, so that no other daemon has been the holder in between.
	held  bool
	fence int64
	// rowVersion is the version of the row after this daemon's last write that is known to have
	// taken effect.
	rowVersion int64
	// acquisitionSentAt is when the write that took the lease was sent.
	acquisitionSentAt time.Time
	// confirmedSentAt is when the last confirmed write was sent. A renewal whose answer was lost
	// does not change it, even if ObserveRow finds that it took effect.
	confirmedSentAt time.Time
}

// New returns a Lease that this daemon does not hold.
func New(config Config) *Lease {
	return &Lease{config: config}
}

// ObserveRow records the row that a read returned at the given time. A row that does not exist has
// the version table.Absent (0). If a write that acquires the lease took effect but its answer was
// lost, this daemon does not regard itself as the holder: it waits until the row has been unchanged
// for the same time as it would for another holder's row.
func (l *Lease) ObserveRow(row table.Row, received time.Time) error {
	v, err := table.DecodeValue[rowValue](row)
	if err != nil {
		return err
	}
	l.highestFence = max(l.highestFence, v.Fence)
	if l.held && v.Holder == l.config.Self && v.Fence == l.fence {
		l.rowVersion = max(l.rowVersion, row.Version) // The answer to a renewal was lost, but it took effect.
		return nil
	}
	if l.held && row.Version > l.rowVersion {
		l.held = false
	}
	if !l.hasLastRow || row.Version != l.lastRow.Version || row.Nonce != l.lastRow.Nonce {
		l.lastRow, l.lastValue, l.unchangedSince, l.hasLastRow = row, v, received, true
	}
	return nil
}

// WriteDue reports whether to write the row now: to renew this daemon's lease, or to take over a
// lease that does not exist or has expired. Before the row has been read, a daemon that is not the
// holder has nothing to write.
func (l *Lease) WriteDue(now time.Time) bool {
	if l.held {
		return elapsed(l.confirmedSentAt, now) >= l.config.Duration/renewalsPerLease
	}
	if !l.hasLastRow {
		return false
	}
	if l.lastRow.Version == table.Absent {
		return true
	}
	return elapsed(l.unchangedSince, now) >= l.config.Duration+l.config.Duration/driftDivisor
}

// NewTransaction returns the transaction of the write that is due. The nonce, which identifies the
// write in the row, must be new and random.
func (l *Lease) NewTransaction(nonce string) table.Transaction {
	v, version := rowValue{Holder: l.config.Self, Fence: l.highestFence + 1}, l.lastRow.Version
	if l.held {
		v.Fence, version = l.fence, l.rowVersion
	}
	return table.Transaction{Nonce: nonce, Changes: []table.Change{{Key: l.config.Key, Value: table.EncodeValue(v), IfVersion: version}}}
}

// WriteConfirmed records that a transaction took effect. The row has the given version since then;
// sent is when the transaction was sent.
func (l *Lease) WriteConfirmed(transaction table.Transaction, version int64, sent time.Time) error {
	change := transaction.Changes[0]
	v, err := table.DecodeValue[rowValue](table.Row{Key: change.Key, Value: change.Value, Version: version})
	if err != nil {
		return err
	}
	if !l.held || l.fence != v.Fence {
		l.acquisitionSentAt = sent
	}
	l.held, l.fence, l.rowVersion, l.confirmedSentAt = true, v.Fence, version, sent
	l.highestFence = max(l.highestFence, v.Fence)
	l.hasLastRow = false
	return nil
}

// WriteConflicted records that a write did not take effect, because the row did not have the
// expected version. A holder gives up the lease if the row has another version than rowVersion,
// even if that is a renewal of its own whose answer was lost.
func (l *Lease) WriteConflicted(row table.Row, received time.Time) error {
	if l.held && row.Version != l.rowVersion {
		l.held = false
	}
	return l.ObserveRow(row, received)
}

// ObserveFence records a fencing number reported by an endpoint. It may be higher than the table's
// if the table was restored from an older state. A holder with a lower number then gives up its
// lease, and the next one gets a higher number.
func (l *Lease) ObserveFence(fence int64) {
	l.highestFence = max(l.highestFence, fence)
	if l.held && fence > l.fence {
		l.held = false
	}
}

// Valid reports whether this daemon holds the lease now. Given the limits in Config, no other
// daemon does.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && elapsed(l.confirmedSentAt, now) < l.config.Duration-l.config.Margin
}

// MayOrder reports whether an order may be sent now. If the endpoint does not support fencing, this
// is so only when Duration and MaxOrderDelay have passed since this daemon sent the write that took
// the lease: then no order of a previous holder can arrive any more. The write took effect on the
// row that this daemon had read, so the previous holder sent its last renewal earlier. Its lease
// ends within Duration after that, and its last order arrives within MaxOrderDelay. This holds even
// if this daemon took the lease too early by its clock.
func (l *Lease) MayOrder(now time.Time, fencing bool) bool {
	if !l.Valid(now) {
		return false
	}
	return fencing || elapsed(l.acquisitionSentAt, now) >= l.config.Duration+l.config.MaxOrderDelay
}

// Fence returns the fencing number of the lease that this daemon holds or held last.
func (l *Lease) Fence() int64 { return l.fence }

// elapsed returns the time between two moments by the monotonic or the wall clock, whichever shows
// more, because one of them may stop while the VM is paused. For a holder, more is the safe side. A
// daemon that waits in WriteDue or MayOrder waits for a shorter time than intended if its wall
// clock is set forward.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
