package lease

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// driftParts is how much slower a holder's clock may run than a candidate's: one part in so many.
const driftParts = 10

// renewalsPerLease is how often a holder renews within the duration.
const renewalsPerLease = 3

// Config is the terms of a lease, which must be the same at all daemons.
type Config struct {
	Self chicoryhall.DaemonID
	// Key is the lease's row in the table.
	Key string
	// Duration is how long a lease is good after the holder's last write.
	Duration time.Duration
	// Margin is how long before its end the holder stops.
	Margin time.Duration
	// MaxPause bounds the time from a holder's look at its lease to the arrival of
	// the order that it then gives.
	MaxPause time.Duration
}

// value is what the lease's row holds.
type value struct {
	Holder chicoryhall.DaemonID `json:"holder"`
	Fence  int64                `json:"fence"`
}

// Lease is one daemon's view of the lease; it does no I/O.
type Lease struct {
	config Config
	// seen is the row as last read, unchanged since seenSince by this daemon's clock.
	seen      table.Row
	seenValue value
	seenSince time.Time
	hasSeen   bool
	// highest is the greatest fencing number known from the table and from engines.
	highest int64

	held     bool
	fence    int64
	version  int64
	acquired time.Time
	// confirmed is when the last write that took effect was sent.
	confirmed time.Time
}

// New returns a Lease that this daemon does not hold.
func New(config Config) *Lease {
	return &Lease{config: config}
}

// ObserveRow takes the row as it was read at the given time; a row that does not exist has version 0.
func (l *Lease) ObserveRow(row table.Row, received time.Time) error {
	v, err := table.DecodeValue[value](row)
	if err != nil {
		return err
	}
	l.highest = max(l.highest, v.Fence)
	if l.held && v.Holder == l.config.Self && v.Fence == l.fence {
		l.version = max(l.version, row.Version) // A renewal took effect whose answer was lost.
		return nil
	}
	if l.held && row.Version > l.version {
		l.held = false
	}
	if !l.hasSeen || row.Version != l.seen.Version || row.Nonce != l.seen.Nonce {
		l.seen, l.seenValue, l.seenSince, l.hasSeen = row, v, received, true
	}
	return nil
}

// WriteDue tells whether a write is due now: a renewal, or an attempt to take a lapsed lease.
func (l *Lease) WriteDue(now time.Time) bool {
	if l.held {
		return elapsed(l.confirmed, now) >= l.config.Duration/renewalsPerLease
	}
	if !l.hasSeen {
		return false
	}
	if l.seen.Version == table.Absent {
		return true
	}
	return elapsed(l.seenSince, now) >= l.config.Duration+l.config.Duration/driftParts
}

// NewTransaction returns the transaction of the write that is due; nonce is new and random.
func (l *Lease) NewTransaction(nonce string) table.Transaction {
	v, version := value{Holder: l.config.Self, Fence: l.highest + 1}, l.seen.Version
	if l.held {
		v.Fence, version = l.fence, l.version
	}
	return table.Transaction{Nonce: nonce, Changes: []table.Change{{Key: l.config.Key, Value: table.EncodeValue(v), IfVersion: version}}}
}

// WriteConfirmed takes the confirmation of a write that was sent at the given time and gave the row a version.
func (l *Lease) WriteConfirmed(transaction table.Transaction, version int64, sent time.Time) error {
	change := transaction.Changes[0]
	v, err := table.DecodeValue[value](table.Row{Key: change.Key, Value: change.Value, Version: version})
	if err != nil {
		return err
	}
	if !l.held || l.fence != v.Fence {
		l.acquired = sent
	}
	l.held, l.fence, l.version, l.confirmed = true, v.Fence, version, sent
	l.highest = max(l.highest, v.Fence)
	l.hasSeen = false
	return nil
}

// WriteConflicted takes a conflict: another daemon wrote the row.
func (l *Lease) WriteConflicted(row table.Row, received time.Time) error {
	if l.held && row.Version != l.version {
		l.held = false
	}
	return l.ObserveRow(row, received)
}

// ObserveFence takes a fencing number that an engine reports, which a restored table may have lost.
func (l *Lease) ObserveFence(fence int64) {
	l.highest = max(l.highest, fence)
	if l.held && fence > l.fence {
		l.held = false
	}
}

// Valid tells whether this daemon surely holds the lease now.
func (l *Lease) Valid(now time.Time) bool {
	return l.held && elapsed(l.confirmed, now) < l.config.Duration-l.config.Margin
}

// MayOrder tells whether an order may be given now, to an engine that refuses old fencing
// numbers or to one that ignores them and could still get a late order of the last holder.
func (l *Lease) MayOrder(now time.Time, fencing bool) bool {
	if !l.Valid(now) {
		return false
	}
	return fencing || elapsed(l.acquired, now) >= l.config.Duration+l.config.MaxPause
}

// Fence returns the fencing number of the lease that is held.
func (l *Lease) Fence() int64 { return l.fence }

// elapsed is the greater of the monotonic and the wall clock's time, as one of them may
// stand still while the VM is paused.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
