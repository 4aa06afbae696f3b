package platformdaemon

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// reportPrefix is the key prefix of the daemons' reports on crashes in the table.
	reportPrefix = "quarantine/"
	// minExchangePause and maxExchangePause bound the least time between two exchanges, so that many losses in a row cost few
	// calls to the store. It doubles with each exchange and returns to the minimum after quietTime without one.
	minExchangePause = 1200 * time.Millisecond
	maxExchangePause = 5 * time.Second
	quietTime        = 8 * time.Second
	// settleDelay is the time to another exchange, which shows what other daemons have reported of the same crash.
	settleDelay = 1200 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after an exchange that failed, which doubles each time.
	minRetryPause = 400 * time.Millisecond
	maxRetryPause = 3 * time.Second
	// exchangeTimeout bounds one call to the store.
	exchangeTimeout = time.Second
	// rewriteSpread is the time over which the daemons write their rows again after the store was restored from a copy.
	rewriteSpread = 500 * time.Millisecond
	// expiryPeriod is the time between two searches for involvements that are too old.
	expiryPeriod = time.Minute
)

// crashReports exchanges what the daemons know of crashes. Each daemon writes what it knows first hand to a row of its own,
// its report, and reads the others' reports after a loss. Once a fingerprint is suspect, it alerts all daemons of what it
// knows of it; they read the reports as well then.
type crashReports struct {
	self     chicoryhall.DaemonID
	timer    chicoryhall.Timer
	table    chicoryhall.Table
	evidence *quarantine.Evidence
	log      *event.Logger
	// exchangeDue is signalled when an exchange may be due, and writeDue when the own report has to be written.
	exchangeDue chan struct{}
	writeDue    chan struct{}

	mu sync.Mutex
	// alertDue is set if the other daemons have to learn of a change of the own report.
	alertDue bool
	// wantedSince is the earliest time at which an exchange may have begun to make another one needless.
	wantedSince time.Time
	// rewriteDue is set if the store may have lost the own report.
	rewriteDue bool
	// urgentSince is like wantedSince, for an exchange that does not wait for the end of the pause.
	urgentSince time.Time

	// The fields below are only used by Serve.

	// written is the report in the store, version the version of its row, and alerted the part of it that the other
	// daemons have been alerted of.
	written quarantine.Report
	version int64
	alerted []quarantine.Involvement
	rows    reportRows
	// failures counts the exchanges that failed in a row. exchangedAt is when the last one began, and pause the least time
	// from then to the next one.
	failures    int
	exchangedAt time.Time
	pause       time.Duration
}

func newCrashReports(self chicoryhall.DaemonID, timer chicoryhall.Timer, store chicoryhall.Table, evidence *quarantine.Evidence, log *event.Logger) *crashReports {
	return &crashReports{
		self: self, timer: timer, table: store, evidence: evidence, log: log, rows: reportRows{log: log},
		exchangeDue: make(chan struct{}, 1), writeDue: make(chan struct{}, 1),
	}
}

// String returns the name under which the supervisor logs this service.
func (r *crashReports) String() string { return "crash reports" }

// Serve exchanges the reports with the other daemons until ctx ends.
func (r *crashReports) Serve(ctx context.Context) error {
	expiryDue := make(chan struct{}, 1)
	ticks := r.timer.Every(expiryPeriod, func(time.Time) { signal(expiryDue) })
	defer ticks.Cancel()
	r.exchangeIn(0, r.timer.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.exchangeDue:
			r.exchangeIfWanted(ctx)
		case <-r.writeDue:
			r.retryUnless(r.write(ctx))
		case <-expiryDue:
			r.evidence.Expire(r.timer.Now())
			r.retryUnless(r.write(ctx))
		}
	}
}

// writeIn makes Serve write the own report after a delay, if it has changed by then.
func (r *crashReports) writeIn(delay time.Duration) {
	r.timer.After(delay, func(time.Time) { signal(r.writeDue) })
}

// exchangeIn makes Serve exchange the reports after a delay, unless an exchange has begun at or after a time by then.
func (r *crashReports) exchangeIn(delay time.Duration, since time.Time) {
	r.mu.Lock()
	if r.wantedSince.Before(since) {
		r.wantedSince = since
	}
	r.mu.Unlock()
	r.timer.After(delay, func(time.Time) { signal(r.exchangeDue) })
}

// exchangeUrgentlyIn is exchangeIn for an exchange that does not wait for the end of the pause.
func (r *crashReports) exchangeUrgentlyIn(delay time.Duration, since time.Time) {
	r.mu.Lock()
	if r.urgentSince.Before(since) {
		r.urgentSince = since
	}
	r.mu.Unlock()
	r.exchangeIn(delay, since)
}

// alertNext makes the next exchange alert the other daemons.
func (r *crashReports) alertNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.alertDue = true
}

// onAlert handles the alert of another daemon, which says what that daemon knows of suspects. The exchange that follows
// shows the other reports.
func (r *crashReports) onAlert(alert platform.Alert) {
	now := r.timer.Now()
	r.log.Log(event.CrashAlertReceived, "from", alert.Daemon)
	var part quarantine.Report
	if err := json.Unmarshal([]byte(alert.Value), &part); err == nil {
		r.evidence.Alerted(alert.Daemon, part, now)
	} else if alert.Value != "" {
		r.log.Log(event.RowUnreadable, "row", platform.AlertKey(alert.Daemon), "error", err)
	}
	r.exchangeIn(0, now)
}

// onRestored makes Serve write the own report again, as the store has been restored from a copy. Daemons do so one after
// another.
func (r *crashReports) onRestored() {
	now := r.timer.Now()
	r.evidence.Restored(now)
	r.mu.Lock()
	r.rewriteDue = true
	r.mu.Unlock()
	r.exchangeUrgentlyIn(randomUpTo(rewriteSpread), now)
}

// forgetWritten makes the next exchange write the own report and an alert, if the store may have lost them.
func (r *crashReports) forgetWritten() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rewriteDue {
		r.rewriteDue = false
		r.written, r.alerted = quarantine.Report{}, nil
	}
}

// randomUpTo returns a random duration of up to most.
func randomUpTo(most time.Duration) time.Duration { return time.Duration(mathrand.Int64N(int64(most))) }

// retryUnless makes Serve exchange the reports again after a pause, unless the last call succeeded.
func (r *crashReports) retryUnless(succeeded bool) {
	if succeeded {
		r.failures = 0
		return
	}
	pause := min(maxRetryPause, minRetryPause<<min(r.failures, 8)) // Bounded to avoid an overflow.
	r.exchangeIn(pause, r.timer.Now().Add(pause))
	r.failures++
}

// exchangeIfWanted exchanges the reports, or does so at the end of the pause.
func (r *crashReports) exchangeIfWanted(ctx context.Context) {
	now := r.timer.Now()
	r.mu.Lock()
	wanted, urgent := r.exchangedAt.Before(r.wantedSince), r.exchangedAt.Before(r.urgentSince)
	r.mu.Unlock()
	left := r.pause - now.Sub(r.exchangedAt)
	switch {
	case !wanted:
	case left > 0 && !urgent:
		r.timer.After(left, func(time.Time) { signal(r.exchangeDue) })
	default:
		r.pause = r.nextPause(now)
		r.exchange(ctx)
	}
}

// nextPause returns the pause after an exchange that begins now.
func (r *crashReports) nextPause(now time.Time) time.Duration {
	if now.Sub(r.exchangedAt) >= quietTime {
		return minExchangePause
	}
	return min(maxExchangePause, max(minExchangePause, 2*r.pause))
}

// exchange writes this daemon's report, reads those of all daemons, and alerts the others if need be. The first time, it
// reads before it writes: the report that an earlier process of this daemon has left would be lost otherwise.
func (r *crashReports) exchange(ctx context.Context) {
	r.exchangedAt = r.timer.Now()
	r.forgetWritten()
	succeeded := !r.evidence.Adopted() || r.write(ctx)
	succeeded = succeeded && r.read(ctx) && r.write(ctx) && r.alert(ctx)
	r.retryUnless(succeeded)
	if succeeded && r.evidence.HasUnsettled(r.timer.Now()) {
		r.exchangeUrgentlyIn(settleDelay, r.timer.Now().Add(settleDelay))
	}
}

// read reads the reports of all daemons and reports whether it succeeded.
func (r *crashReports) read(ctx context.Context) bool {
	begun := r.timer.Now()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	rows, err := r.table.Rows(ctx, reportPrefix)
	if err != nil {
		r.logFailure("read the reports on crashes", err)
		return false
	}
	r.evidence.Replace(r.rows.decode(rows), begun)
	return true
}

// write writes this daemon's report if it differs from the one in the store, and reports whether it succeeded. The write
// depends on the row's version, as one without an answer may take effect late.
func (r *crashReports) write(ctx context.Context) bool {
	report := r.evidence.Own(r.timer.Now())
	if reflect.DeepEqual(report, r.written) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	change := table.Change{Key: reportPrefix + string(r.self), IfVersion: r.version, Value: table.EncodeValue(report)}
	result, err := r.transact(ctx, change)
	if row, conflict := table.AsConflict(err); conflict {
		// The row is from an earlier process, or from a write whose answer was lost.
		change.IfVersion = row.Version
		result, err = r.transact(ctx, change)
	}
	if err != nil {
		r.logFailure("write the report on crashes", err)
		return false
	}
	r.written, r.version = report, result.Versions[0]
	return true
}

// alert writes an alert if the other daemons have to know of a change of this daemon's report, and reports whether that
// succeeded or was not needed.
func (r *crashReports) alert(ctx context.Context) bool {
	suspicious := r.evidence.Suspicious(r.timer.Now())
	r.mu.Lock()
	due := r.alertDue
	r.mu.Unlock()
	if !due && slices.Equal(suspicious, r.alerted) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	part := quarantine.Report{Involved: suspicious, Cleared: r.evidence.Own(r.timer.Now()).Cleared}
	change := table.Change{Key: platform.AlertKey(r.self), IfVersion: table.AnyVersion, Value: table.EncodeValue(part)}
	if _, err := r.transact(ctx, change); err != nil {
		r.logFailure("alert the other daemons", err)
		return false
	}
	r.alerted = suspicious
	r.mu.Lock()
	r.alertDue = false
	r.mu.Unlock()
	return true
}

func (r *crashReports) transact(ctx context.Context, change table.Change) (table.Result, error) {
	return r.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
}

// logFailure logs the first of several failures in a row.
func (r *crashReports) logFailure(step string, err error) {
	if r.failures == 0 {
		r.log.Log(event.StoreCallFailed, "step", step, "error", err)
	}
}
