package lease

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// maxDriftDivisor is the divisor of the duration that yields the allowance for clock drift: a
// holder's clock may run up to a tenth slower than a candidate's.
const maxDriftDivisor = 10

// renewalsPerLease is how many times a holder renews the lease within its duration.
const renewalsPerLease = 3

// Config configures a Lease. Except for Self, it must be the same at all daemons.
type Config struct {
	Self chicoryhall.DaemonID
	// Key is the key of the lease's row in the table.
	Key string
	// Duration is how long a lease is valid after the holder's last write.
	Duration time.Duration
	// Margin is how long before the end of its lease the holder stops.
	Margin time.Duration
	// MaxPause bounds the time between a holder's check of its lease and the arrival of the order
	// that it then sends.
	MaxPause time.Duration
}

// value is the content of the lease's row.
type value struct {
	Holder chicoryhall.DaemonID `json:"holder"`
	Fence  int64                `json:"fence"`
}

// Lease is one daemon's view of the lease. It is not safe for concurrent use.
type Lease struct {
	config Config
	// lastRow is the row as last read. It has been unchanged since lastRowSince by this daemon's
	// clock.
	lastRow      table.Row
	lastValue    value
	lastRowSince time.Time
	hasLastRow   bool
	// highestFence is the highest fencing number known from the table and from endpoints.
	highestFence int64

	held       bool
	fence      int64
	rowVersion int64
	acquiredAt time.Time
	// confirmedAt is when the last write that took effect was sent.
	confirmedAt time.Time
}

// New returns a Lease that this daemon does not hold.
func New(config Config) *Lease {
	return &Lease{config: config}
}

// ObserveRow records the row as read at the given time. A row that does not exist has version 0.
func (l *Lease) ObserveRow(row table.Row, received time.Time) error {
	v, err := table.DecodeValue[value](row)
	if err != nil {
		return err
	}
	l.highestFence = max(l.highestFence, v.Fence)
	if l.held && v.Holder == l.config.Self && v.Fence == l.fence {
		l.rowVersion = max(l.rowVersion, row.Version) // A renewal took effect whose answer was lost.
		return nil
	}
	if l.held && row.Version > l.rowVersion {
		l.held = false
	}
	if !l.hasLastRow || row.Version != l.lastRow.Version || row.Nonce != l.lastRow.Nonce {
		l.lastRow, l.lastValue, l.lastRowSince, l.hasLastRow = row, v, received, true
	}
	return nil
}

// WriteDue reports whether to write the row now: to renew the lease, or to take one that is free or
// has expired.
func (l *Lease) WriteDue(now time.Time) bool {
	if l.held {
		return elapsed(l.confirmedAt, now) >= l.config.Duration/renewalsPerLease
	}
	if !l.hasLastRow {
		return false
	}
	if l.lastRow.Version == table.Absent {
		return true
	}
	return elapsed(l.lastRowSince, now) >= l.config.Duration+l.config.Duration/maxDriftDivisor
}

// NewTransaction returns the transaction of the write that is due. The nonce must be new and
// random.
func (l *Lease) NewTransaction(nonce string) table.Transaction {
	v, version := value{Holder: l.config.Self, Fence: l.highestFence + 1}, l.lastRow.Version
	if l.held {
		v.Fence, version = l.fence, l.rowVersion
	}
	return table.Transaction{Nonce: nonce, Changes: []table.Change{{Key: l.config.Key, Value: table.EncodeValue(v), IfVersion: version}}}
}

// WriteConfirmed records that a write sent at the given time took effect and gave the row the
// version.
func (l *Lease) WriteConfirmed(transaction table.Transaction, version int64, sent time.Time) error {
	change := transaction.Changes[0]
	v, err := table.DecodeValue[value](table.Row{Key: change.Key, Value: change.Value, Version: version})
	if err != nil {
		return err
	}
	if !l.held || l.fence != v.Fence {
		l.acquiredAt = sent
	}
	l.held, l.fence, l.rowVersion, l.confirmedAt = true, v.Fence, version, sent
	l.highestFence = max(l.highestFence, v.Fence)
	l.hasLastRow = false
	return nil
}

// WriteConflicted records that a write did not take effect because another daemon has written the
// row.
func (l *Lease) WriteConflicted(row table.Row, received time.Time) error {
	if l.held && row.Version != l.rowVersion {
		l.held = false
	}
	return l.ObserveRow(row, received)
}

// ObserveFence records a fencing number reported by an endpoint. It may be higher than the table's
// if the table was restored from a backup; a holder then gives up its lease.
func (l *Lease) ObserveFence(fence int64) {
	l.highestFence = max(l.highestFence, fence)
	if l.held && fence > l.fence {
		l.held = false
	}
}

// Valid reports whether this daemon certainly holds the lease now.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && elapsed(l.confirmedAt, now) < l.config.Duration-l.config.Margin
}

// MayOrder reports whether an order may be sent now. If the endpoint ignores fencing numbers
// (fencing is false), a late order of the previous holder must no longer be able to arrive.
func (l *Lease) MayOrder(now time.Time, fencing bool) bool {
	if !l.Valid(now) {
		return false
	}
	return fencing || elapsed(l.acquiredAt, now) >= l.config.Duration+l.config.MaxPause
}

// Fence returns the fencing number of the lease that this daemon holds.
func (l *Lease) Fence() int64 { return l.fence }

// elapsed returns the time between two moments by the monotonic or the wall clock, whichever shows
// more, because one of them may stop while the VM is paused.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
