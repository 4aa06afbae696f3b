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
	// rowPrefix is the key prefix of the daemons' rows in the table.
	rowPrefix = "daemons/"
	// rowPeriod is the time between two writes of a daemon's own row and between two reads of all rows.
	rowPeriod = 15 * time.Second
	// secondReadDelay is the time from the first read of the rows to an early second one: daemons that start
	// together do not see each other's rows in the first read.
	secondReadDelay = 3 * time.Second
	// rowLifetime is how long a daemon counts as alive after its row last changed.
	rowLifetime = 3*rowPeriod + rowPeriod/2
	// rowTimeout bounds one call to the table.
	rowTimeout = 2 * time.Second
	// censusLifetime is how long a count of the live daemons is cached.
	censusLifetime = time.Second
	// rowRetention is the time after its last change at which a row is removed.
	rowRetention = 5 * time.Minute
)

// memberRow is the value of a daemon's row. Each write gives the row a new version, which shows that the daemon is alive.
type memberRow struct {
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Region        chicoryhall.Region        `json:"region"`
	Run           int64                     `json:"run"`
}

// observedRow is a row as last read; since is when this daemon, by its own clock, first read that version.
type observedRow struct {
	row   table.Row
	value memberRow
	since time.Time
}

// census holds the numbers of live daemons counted at one time, this daemon included.
type census struct {
	alive int
	// domainAlive counts the live daemons of this daemon's failure domain.
	domainAlive int
	at          time.Time
}

// Listed implements chicoryhall.Members for daemons that discover each other only through rows in the platform's
// table. The clocks of daemons are never compared: a daemon is alive while its row keeps changing.
type Listed struct {
	self  chicoryhall.Member
	table chicoryhall.Table
	timer chicoryhall.Timer
	log   *event.Logger

	mu   sync.Mutex
	rows map[string]observedRow
	// reported holds the entries last passed to the subscribers.
	reported    map[chicoryhall.DaemonID]chicoryhall.Member
	subscribers []func(chicoryhall.Member)
	// tableReachable is whether the last call to the table succeeded.
	tableReachable bool
	cachedCensus   census
}

// NewListed returns a Listed that knows no other daemon until Serve runs.
func NewListed(self chicoryhall.Member, rows chicoryhall.Table, timer chicoryhall.Timer, log *event.Logger) *Listed {
	self.StartIncarnation = timer.Now().UnixMilli()
	return &Listed{
		self: self, table: rows, timer: timer, log: log,
		rows: make(map[string]observedRow), reported: make(map[chicoryhall.DaemonID]chicoryhall.Member),
	}
}

// String returns the name under which the supervisor reports it.
func (l *Listed) String() string { return "listed members" }

// Self returns this daemon's own entry.
func (l *Listed) Self() chicoryhall.Member { return l.self }

// All returns every known daemon but this one, ordered by ID.
func (l *Listed) All() []chicoryhall.Member {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []chicoryhall.Member
	for _, observed := range l.rows {
		all = append(all, l.memberOf(observed, now))
	}
	slices.SortFunc(all, func(a, b chicoryhall.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Alive returns the number of live daemons, this one included.
func (l *Listed) Alive() int { return l.census().alive }

// Neighbours returns the number of live daemons of this daemon's failure domain, this one included.
func (l *Listed) Neighbours() int { return l.census().domainAlive }

// census returns the numbers of live daemons. They are cached for censusLifetime, as they are needed each time an
// endpoint is considered.
func (l *Listed) census() census {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.cachedCensus.at) < censusLifetime {
		return l.cachedCensus
	}
	l.cachedCensus = census{alive: 1, domainAlive: 1, at: now}
	for _, observed := range l.rows {
		member := l.memberOf(observed, now)
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		l.cachedCensus.alive++
		if member.FailureDomain == l.self.FailureDomain {
			l.cachedCensus.domainAlive++
		}
	}
	return l.cachedCensus
}

// Subscribe registers changed to be called with each entry that changes; changed must not block.
func (l *Listed) Subscribe(changed func(chicoryhall.Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, changed)
}

// Serve writes this daemon's row and reads all rows periodically until ctx ends.
func (l *Listed) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	l.writeOwnRow(ctx)
	l.readRows(ctx)
	again := make(chan struct{}, 1)
	second := l.timer.After(secondReadDelay, func(time.Time) { again <- struct{}{} })
	defer second.Cancel()
	ticks := l.timer.Every(rowPeriod, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-again:
			l.readRows(ctx)
		case <-due:
			l.writeOwnRow(ctx)
			l.readRows(ctx)
		}
	}
}

// Leave removes this daemon's row, so that the other daemons stop counting it at their next read.
func (l *Listed) Leave(ctx context.Context) {
	change := table.Change{Key: l.key(), IfVersion: table.AnyVersion, Delete: true}
	_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	l.noteResult("remove the daemon's row", err)
}

func (l *Listed) key() string { return rowPrefix + string(l.self.ID) }

func (l *Listed) writeOwnRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	value := memberRow{FailureDomain: l.self.FailureDomain, Region: l.self.Region, Run: l.self.StartIncarnation}
	change := table.Change{Key: l.key(), Value: table.EncodeValue(value), IfVersion: table.AnyVersion}
	_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	l.noteResult("write the daemon's row", err)
}

func (l *Listed) readRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := l.table.Rows(ctx, rowPrefix)
	l.noteResult("read the daemons' rows", err)
	if err != nil {
		return
	}
	now := l.timer.Now()
	l.updateRows(rows, now)
	for _, member := range l.takeChanges() {
		l.notify(member)
	}
	l.removeExpired(ctx, now)
}

// updateRows stores the rows as read at now.
func (l *Listed) updateRows(rows []table.Row, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]observedRow, len(rows))
	for _, row := range rows {
		before, known := l.rows[row.Key]
		switch {
		case row.Key == l.key():
		case known && before.row.Version == row.Version:
			present[row.Key] = before
		default:
			value, err := table.DecodeValue[memberRow](row)
			if err != nil {
				l.log.Log(event.RowUnreadable, "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			present[row.Key] = observedRow{row: row, value: value, since: now}
		}
	}
	l.rows = present
	l.cachedCensus = census{}
}

// takeChanges returns the entries that differ from those last passed to the subscribers, and marks them as passed.
func (l *Listed) takeChanges() []chicoryhall.Member {
	all := l.All()
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[chicoryhall.DaemonID]chicoryhall.Member, len(all))
	var changed []chicoryhall.Member
	for _, member := range all {
		known[member.ID] = member
		if l.reported[member.ID] != member {
			changed = append(changed, member)
		}
	}
	for id, before := range l.reported {
		if _, still := known[id]; !still && before.State != chicoryhall.MemberDead {
			before.State = chicoryhall.MemberDead
			changed = append(changed, before)
		}
	}
	l.reported = known
	return changed
}

// removeExpired removes the rows that have not changed for rowRetention.
func (l *Listed) removeExpired(ctx context.Context, now time.Time) {
	l.mu.Lock()
	var old []table.Change
	for key, observed := range l.rows {
		if now.Sub(observed.since) > rowRetention {
			old = append(old, table.Change{Key: key, IfVersion: observed.row.Version, Delete: true})
		}
	}
	l.mu.Unlock()
	for _, change := range old {
		_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
		l.noteResult("remove the row of a daemon that is gone", err)
	}
}

// memberOf returns the member entry of a row. While the table is unreachable every known daemon counts as alive, so
// that no daemon enlarges its share of a common budget.
func (l *Listed) memberOf(observed observedRow, now time.Time) chicoryhall.Member {
	state := chicoryhall.MemberAlive
	if l.tableReachable && now.Sub(observed.since) >= rowLifetime {
		state = chicoryhall.MemberDead
	}
	return chicoryhall.Member{
		ID:               chicoryhall.DaemonID(strings.TrimPrefix(observed.row.Key, rowPrefix)),
		Region:           observed.value.Region,
		FailureDomain:    observed.value.FailureDomain,
		Incarnation:      observed.value.Run,
		StartIncarnation: observed.value.Run,
		State:            state,
	}
}

func (l *Listed) notify(member chicoryhall.Member) {
	l.log.Log(event.MemberRowChanged, "member", member.ID, "state", member.State, "run", member.StartIncarnation)
	l.mu.Lock()
	subscribers := l.subscribers
	l.mu.Unlock()
	for _, changed := range subscribers {
		changed(member)
	}
}

// noteResult records whether a call to the table succeeded, and logs the first failure after a success.
func (l *Listed) noteResult(step string, err error) {
	l.mu.Lock()
	before := l.tableReachable
	l.tableReachable = err == nil
	l.cachedCensus = census{}
	l.mu.Unlock()
	if before && err != nil {
		l.log.Log(event.StoreCallFailed, "step", step, "error", err)
	}
}
