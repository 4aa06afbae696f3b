package membership

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// RowPrefix is the key prefix of the daemons' rows in the table.
	RowPrefix = "daemons/"
	// rowPeriod is the time between two writes of a daemon's own row and between two reads of all rows.
	rowPeriod = 15 * time.Second
	// secondReadDelay is the time from the first read of the rows to an early second one: daemons that start
	// together do not see each other's rows in the first read.
	secondReadDelay = 3 * time.Second
	// rowLifetime is how long a daemon counts as alive after its row last changed: two writes in a row may be missed.
	rowLifetime = 3*rowPeriod + rowPeriod/2
	// rowTimeout bounds one call to the table.
	rowTimeout = 2 * time.Second
	// minStartPause and maxStartPause bound the pause after a call that failed while this daemon does not know the others yet; it
	// doubles each time. Later calls are repeated with the next period, as nothing is lost by then.
	minStartPause = 250 * time.Millisecond
	maxStartPause = time.Second
	// countsLifetime is how long the numbers of live daemons are cached.
	countsLifetime = time.Second
	// rowRetention is the time after its last change at which a row is removed.
	rowRetention = 5 * time.Minute
)

// memberRow is the value of a daemon's row. Each write gives the row a new version, which shows that the daemon is alive.
type memberRow struct {
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Region        chicoryhall.Region        `json:"region"`
	PeerAddress   string                    `json:"peer,omitempty"`
	PeerKey       string                    `json:"peerKey,omitempty"`
	Neighbours    string                    `json:"neighbours,omitempty"`
	CPUShare      float64                   `json:"cpuShare,omitempty"`
	// StartIncarnation is the time of the daemon's start in Unix milliseconds.
	StartIncarnation int64 `json:"run"`
}

// observedRow is a row as last read; since is when this daemon, by its own clock, first read that version.
type observedRow struct {
	row   table.Row
	value memberRow
	since time.Time
}

// memberCounts holds the numbers of live daemons counted at one time, this daemon included.
type memberCounts struct {
	alive int
	// domainAlive counts the live daemons of this daemon's failure domain.
	domainAlive int
	at          time.Time
}

// TableMembers implements chicoryhall.Members for daemons that discover each other only through rows in the platform's
// table. The clocks of daemons are never compared: a daemon is alive while its row keeps changing.
type TableMembers struct {
	self  chicoryhall.Member
	table chicoryhall.Table
	timer chicoryhall.Timer
	log   *event.Logger

	mu   sync.Mutex
	rows map[string]observedRow
	// reported holds the entries last passed to the subscribers.
	reported    map[chicoryhall.DaemonID]chicoryhall.Member
	subscribers []func(chicoryhall.Member)
	// known is set once the rows have been read, and settled once that was secondReadDelay after the first time: daemons that
	// started together know each other then.
	known     bool
	settled   bool
	firstRead time.Time
	// tableReachable is whether the last call to the table succeeded.
	tableReachable bool
	cachedCounts   memberCounts

	// restored is signalled when the table may have lost this daemon's row.
	restored chan struct{}
}

// NewTableMembers returns a TableMembers that knows no other daemon until Serve runs.
func NewTableMembers(self chicoryhall.Member, store chicoryhall.Table, timer chicoryhall.Timer, log *event.Logger) *TableMembers {
	self.StartIncarnation = timer.Now().UnixMilli()
	return &TableMembers{
		self: self, table: store, timer: timer, log: log,
		rows: make(map[string]observedRow), reported: make(map[chicoryhall.DaemonID]chicoryhall.Member),
		restored: make(chan struct{}, 1),
	}
}

// Restored makes Serve write this daemon's row again, as the table has returned to an earlier state.
func (m *TableMembers) Restored() { signal(m.restored) }

// String returns the name of this service in the logs of the suture supervisor.
func (m *TableMembers) String() string { return "table members" }

// Self returns this daemon's own entry.
func (m *TableMembers) Self() chicoryhall.Member { return m.self }

// Known reports whether the rows of the other daemons have been read since the start.
func (m *TableMembers) Known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known
}

// Others returns every known daemon but this one, ordered by ID.
func (m *TableMembers) Others() []chicoryhall.Member {
	now := m.timer.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []chicoryhall.Member
	for _, observed := range m.rows {
		all = append(all, m.memberOf(observed, now))
	}
	slices.SortFunc(all, func(a, b chicoryhall.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Alive returns the number of live daemons, this one included.
func (m *TableMembers) Alive() int { return m.counts().alive }

// AliveInDomain returns the number of live daemons of this daemon's failure domain, this one included.
func (m *TableMembers) AliveInDomain() int { return m.counts().domainAlive }

// SettledInDomain returns the number of live daemons of this daemon's failure domain, and whether daemons that started together with
// this one are among them.
func (m *TableMembers) SettledInDomain() (int, bool) {
	daemons := m.AliveInDomain()
	m.mu.Lock()
	defer m.mu.Unlock()
	return daemons, m.settled
}

// counts returns the numbers of live daemons. They are cached for countsLifetime, as they are asked for often.
func (m *TableMembers) counts() memberCounts {
	now := m.timer.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.cachedCounts.at) < countsLifetime {
		return m.cachedCounts
	}
	m.cachedCounts = memberCounts{alive: 1, domainAlive: 1, at: now}
	for _, observed := range m.rows {
		member := m.memberOf(observed, now)
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		m.cachedCounts.alive++
		if member.FailureDomain == m.self.FailureDomain {
			m.cachedCounts.domainAlive++
		}
	}
	return m.cachedCounts
}

// Subscribe registers changed to be called with each entry that changes; changed must not block.
func (m *TableMembers) Subscribe(changed func(chicoryhall.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, changed)
}

// Serve writes this daemon's row and reads all rows until ctx ends: periodically, once more soon after the first time, and until it
// knows the others, again after each failure.
func (m *TableMembers) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	ticks := m.timer.Every(rowPeriod, func(time.Time) { signal(due) })
	defer ticks.Cancel()
	again := m.exchangeAndPlan(ctx, due, minStartPause)
	defer func() { again.Cancel() }()
	for pause := minStartPause; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			pause = min(maxStartPause, 2*pause)
			again.Cancel()
			again = m.exchangeAndPlan(ctx, due, pause)
		case <-m.restored:
			m.writeOwnRow(ctx)
			again.Cancel()
			again = m.timer.After(secondReadDelay, func(time.Time) { signal(due) })
		}
	}
}

// exchangeAndPlan writes this daemon's row and reads all rows. It makes the next time due after a pause if a call has failed, and after
// secondReadDelay if the rows were read for the first time, unless this daemon has known the others before.
func (m *TableMembers) exchangeAndPlan(ctx context.Context, due chan<- struct{}, pause time.Duration) chicoryhall.Subscription {
	wasSettled := m.isSettled()
	written := m.writeOwnRow(ctx)
	read := (written || wasSettled) && m.readRows(ctx) // At the start, a call that hangs is not followed by another one.
	switch {
	case wasSettled || m.isSettled() && written:
		return noSubscription{}
	case written && read:
		pause = secondReadDelay
	}
	return m.timer.After(pause, func(time.Time) { signal(due) })
}

// noSubscription is a subscription to nothing.
type noSubscription struct{}

// Cancel does nothing.
func (noSubscription) Cancel() {}

// signal puts a token into a channel, unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// isSettled reports whether daemons that started together with this one are known.
func (m *TableMembers) isSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled
}

// RemoveRow removes this daemon's row when it stops, so that the other daemons no longer count it after their next read.
func (m *TableMembers) RemoveRow(ctx context.Context) {
	change := table.Change{Key: m.key(), IfVersion: table.AnyVersion, Delete: true}
	_, err := m.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	m.noteResult("remove the daemon's row", err)
}

func (m *TableMembers) key() string { return RowPrefix + string(m.self.ID) }

// writeOwnRow writes this daemon's row and reports whether that succeeded.
func (m *TableMembers) writeOwnRow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	value := memberRow{
		FailureDomain: m.self.FailureDomain, Region: m.self.Region, PeerAddress: m.self.PeerAddress, PeerKey: m.self.PeerKey,
		Neighbours: m.self.NeighbourAddress, CPUShare: m.self.CPUShare, StartIncarnation: m.self.StartIncarnation,
	}
	change := table.Change{Key: m.key(), Value: table.EncodeValue(value), IfVersion: table.AnyVersion}
	_, err := m.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	m.noteResult("write the daemon's row", err)
	return err == nil
}

// readRows reads the rows of all daemons and reports whether that succeeded.
func (m *TableMembers) readRows(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := m.table.Rows(ctx, RowPrefix)
	m.noteResult("read the daemons' rows", err)
	if err != nil {
		return false
	}
	now := m.timer.Now()
	m.updateRows(rows, now)
	for _, member := range m.takeChanges() {
		m.notify(member)
	}
	m.removeExpired(ctx, now)
	return true
}

// updateRows stores the rows as read at now.
func (m *TableMembers) updateRows(rows []table.Row, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]observedRow, len(rows))
	for _, row := range rows {
		before, known := m.rows[row.Key]
		switch {
		case row.Key == m.key():
		case known && before.row.Version == row.Version:
			present[row.Key] = before
		default:
			value, err := table.DecodeValue[memberRow](row)
			if err != nil {
				m.log.Log(event.RowUnreadable, "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			present[row.Key] = observedRow{row: row, value: value, since: now}
		}
	}
	m.rows = present
	if !m.known {
		m.known, m.firstRead = true, now
	}
	m.settled = m.settled || now.Sub(m.firstRead) >= secondReadDelay
	m.cachedCounts = memberCounts{}
}

// takeChanges returns the entries that differ from those last passed to the subscribers, and marks them as passed.
func (m *TableMembers) takeChanges() []chicoryhall.Member {
	all := m.Others()
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[chicoryhall.DaemonID]chicoryhall.Member, len(all))
	var changed []chicoryhall.Member
	for _, member := range all {
		known[member.ID] = member
		if m.reported[member.ID] != member {
			changed = append(changed, member)
		}
	}
	for id, before := range m.reported {
		if _, still := known[id]; !still && before.State != chicoryhall.MemberDead {
			before.State = chicoryhall.MemberDead
			changed = append(changed, before)
		}
	}
	m.reported = known
	return changed
}

// removeExpired removes the rows that have not changed for rowRetention.
func (m *TableMembers) removeExpired(ctx context.Context, now time.Time) {
	m.mu.Lock()
	var old []table.Change
	for key, observed := range m.rows {
		if now.Sub(observed.since) > rowRetention {
			old = append(old, table.Change{Key: key, IfVersion: observed.row.Version, Delete: true})
		}
	}
	m.mu.Unlock()
	for _, change := range old {
		_, err := m.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
		m.noteResult("remove the row of a daemon that is gone", err)
	}
}

// memberOf returns the member entry of a row. While the table is unreachable every known daemon counts as alive, so
// that a daemon does not take a larger share of the limits that all daemons divide among themselves.
func (m *TableMembers) memberOf(observed observedRow, now time.Time) chicoryhall.Member {
	state := chicoryhall.MemberAlive
	if m.tableReachable && now.Sub(observed.since) >= rowLifetime {
		state = chicoryhall.MemberDead
	}
	return chicoryhall.Member{
		ID:               chicoryhall.DaemonID(strings.TrimPrefix(observed.row.Key, RowPrefix)),
		Region:           observed.value.Region,
		FailureDomain:    observed.value.FailureDomain,
		PeerAddress:      observed.value.PeerAddress,
		PeerKey:          observed.value.PeerKey,
		NeighbourAddress: observed.value.Neighbours,
		CPUShare:         observed.value.CPUShare,
		Incarnation:      observed.value.StartIncarnation,
		StartIncarnation: observed.value.StartIncarnation,
		State:            state,
	}
}

func (m *TableMembers) notify(member chicoryhall.Member) {
	m.log.Log(event.MemberRowChanged, "member", member.ID, "state", member.State, "run", member.StartIncarnation)
	m.mu.Lock()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, changed := range subscribers {
		changed(member)
	}
}

// noteResult records whether a call to the table succeeded, and logs a failure if the call before succeeded.
func (m *TableMembers) noteResult(step string, err error) {
	m.mu.Lock()
	before := m.tableReachable
	m.tableReachable = err == nil
	m.cachedCounts = memberCounts{}
	m.mu.Unlock()
	if before && err != nil {
		m.log.Log(event.StoreCallFailed, "step", step, "error", err)
	}
}
