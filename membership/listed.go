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
	// listedPrefix begins the keys of the daemons' rows in the table.
	listedPrefix = "daemons/"
	// rowPeriod lies between two writes of a daemon's own row and two reads of all rows.
	rowPeriod = 15 * time.Second
	// secondRead is when the rows are read again after the start: daemons that start together do
	// not see each other's rows in the first read.
	secondRead = 3 * time.Second
	// rowLifetime is how long a row that does not change stands for a live daemon.
	rowLifetime = 3*rowPeriod + rowPeriod/2
	// rowTimeout bounds one call to the table.
	rowTimeout = 2 * time.Second
	// censusLifetime is how long a count of the live daemons is used.
	censusLifetime = time.Second
	// forgetAfter is the age at which a row that does not change is removed.
	forgetAfter = 5 * time.Minute
)

// listedRow is what a daemon's row holds; the row's version shows that the daemon lives.
type listedRow struct {
	FailureDomain chicoryhall.FailureDomain `json:"failureDomain"`
	Region        chicoryhall.Region        `json:"region"`
	Run           int64                     `json:"run"`
}

// sightedRow is a row as last read, unchanged since a time by this daemon's clock.
type sightedRow struct {
	row   table.Row
	value listedRow
	since time.Time
}

// census is the number of live daemons as counted at a time, this one included.
type census struct {
	alive int
	// neighbours are those of this daemon's failure domain.
	neighbours int
	at         time.Time
}

// Listed is a chicoryhall.Members of daemons that find each other in the platform's table alone.
// No clocks are compared: a daemon lives while its row changes.
type Listed struct {
	self  chicoryhall.Member
	table chicoryhall.Table
	timer chicoryhall.Timer
	log   *event.Logger

	mu   sync.Mutex
	rows map[string]sightedRow
	// told are the states that the subscribers know of.
	told        map[chicoryhall.DaemonID]chicoryhall.Member
	subscribers []func(chicoryhall.Member)
	// reached tells that the table answered the last read.
	reached bool
	counted census
}

// NewListed returns a Listed that knows no other daemon until Serve runs.
func NewListed(self chicoryhall.Member, rows chicoryhall.Table, timer chicoryhall.Timer, log *event.Logger) *Listed {
	self.StartIncarnation = timer.Now().UnixMilli()
	return &Listed{
		self: self, table: rows, timer: timer, log: log,
		rows: make(map[string]sightedRow), told: make(map[chicoryhall.DaemonID]chicoryhall.Member),
	}
}

// String names the part in the supervisor's reports.
func (l *Listed) String() string { return "listed members" }

// Self returns this daemon's own entry.
func (l *Listed) Self() chicoryhall.Member { return l.self }

// All returns every known daemon but this one, ordered by ID.
func (l *Listed) All() []chicoryhall.Member {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []chicoryhall.Member
	for _, sighted := range l.rows {
		all = append(all, l.memberOf(sighted, now))
	}
	slices.SortFunc(all, func(a, b chicoryhall.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Alive returns the number of live daemons, this one included.
func (l *Listed) Alive() int { return l.census().alive }

// Neighbours returns the number of live daemons of this daemon's failure domain, this one included.
func (l *Listed) Neighbours() int { return l.census().neighbours }

// census counts the live daemons, at most once in its lifetime: it is asked for at every look at an
// endpoint.
func (l *Listed) census() census {
	now := l.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.counted.at) < censusLifetime {
		return l.counted
	}
	l.counted = census{alive: 1, neighbours: 1, at: now}
	for _, sighted := range l.rows {
		member := l.memberOf(sighted, now)
		if member.State != chicoryhall.MemberAlive {
			continue
		}
		l.counted.alive++
		if member.FailureDomain == l.self.FailureDomain {
			l.counted.neighbours++
		}
	}
	return l.counted
}

// Subscribe calls changed with each entry that changes; it must not block.
func (l *Listed) Subscribe(changed func(chicoryhall.Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers = append(l.subscribers, changed)
}

// Serve writes this daemon's row and reads the others' until ctx ends.
func (l *Listed) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	l.write(ctx)
	l.read(ctx)
	again := make(chan struct{}, 1)
	second := l.timer.After(secondRead, func(time.Time) { again <- struct{}{} })
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
			l.read(ctx)
		case <-due:
			l.write(ctx)
			l.read(ctx)
		}
	}
}

// Leave removes this daemon's row, so that the others count without it at once.
func (l *Listed) Leave(ctx context.Context) {
	change := table.Change{Key: l.key(), IfVersion: table.AnyVersion, Delete: true}
	_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	l.report("remove the daemon's row", err)
}

func (l *Listed) key() string { return listedPrefix + string(l.self.ID) }

func (l *Listed) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	value := listedRow{FailureDomain: l.self.FailureDomain, Region: l.self.Region, Run: l.self.StartIncarnation}
	change := table.Change{Key: l.key(), Value: table.EncodeValue(value), IfVersion: table.AnyVersion}
	_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
	l.report("write the daemon's row", err)
}

func (l *Listed) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	rows, err := l.table.Rows(ctx, listedPrefix)
	l.report("read the daemons' rows", err)
	if err != nil {
		return
	}
	now := l.timer.Now()
	l.take(rows, now)
	for _, member := range l.news() {
		l.tell(member)
	}
	l.forget(ctx, now)
}

// take notes the rows as read at now.
func (l *Listed) take(rows []table.Row, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := make(map[string]sightedRow, len(rows))
	for _, row := range rows {
		before, known := l.rows[row.Key]
		switch {
		case row.Key == l.key():
		case known && before.row.Version == row.Version:
			present[row.Key] = before
		default:
			value, err := table.DecodeValue[listedRow](row)
			if err != nil {
				l.log.Log(event.RowUnreadable, "row", row.Key, "version", row.Version, "error", err)
				continue
			}
			present[row.Key] = sightedRow{row: row, value: value, since: now}
		}
	}
	l.rows = present
	l.counted = census{}
}

// news returns the members that differ from what the subscribers know.
func (l *Listed) news() []chicoryhall.Member {
	all := l.All()
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[chicoryhall.DaemonID]chicoryhall.Member, len(all))
	var changed []chicoryhall.Member
	for _, member := range all {
		known[member.ID] = member
		if l.told[member.ID] != member {
			changed = append(changed, member)
		}
	}
	for id, before := range l.told {
		if _, still := known[id]; !still && before.State != chicoryhall.MemberDead {
			before.State = chicoryhall.MemberDead
			changed = append(changed, before)
		}
	}
	l.told = known
	return changed
}

// forget removes the rows of daemons that have been gone for long.
func (l *Listed) forget(ctx context.Context, now time.Time) {
	l.mu.Lock()
	var old []table.Change
	for key, sighted := range l.rows {
		if now.Sub(sighted.since) > forgetAfter {
			old = append(old, table.Change{Key: key, IfVersion: sighted.row.Version, Delete: true})
		}
	}
	l.mu.Unlock()
	for _, change := range old {
		_, err := l.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{change}})
		l.report("remove the row of a daemon that is gone", err)
	}
}

// memberOf returns the entry that a row stands for; without the table every row counts as alive,
// so that shares of budgets stay small.
func (l *Listed) memberOf(sighted sightedRow, now time.Time) chicoryhall.Member {
	state := chicoryhall.MemberAlive
	if l.reached && now.Sub(sighted.since) >= rowLifetime {
		state = chicoryhall.MemberDead
	}
	return chicoryhall.Member{
		ID:               chicoryhall.DaemonID(strings.TrimPrefix(sighted.row.Key, listedPrefix)),
		Region:           sighted.value.Region,
		FailureDomain:    sighted.value.FailureDomain,
		Incarnation:      sighted.value.Run,
		StartIncarnation: sighted.value.Run,
		State:            state,
	}
}

func (l *Listed) tell(member chicoryhall.Member) {
	l.log.Log(event.MemberRowChanged, "member", member.ID, "state", member.State, "run", member.StartIncarnation)
	l.mu.Lock()
	subscribers := l.subscribers
	l.mu.Unlock()
	for _, changed := range subscribers {
		changed(member)
	}
}

// report notes whether the table answers, and logs when that changes.
func (l *Listed) report(step string, err error) {
	l.mu.Lock()
	before := l.reached
	l.reached = err == nil
	l.counted = census{}
	l.mu.Unlock()
	if before && err != nil {
		l.log.Log(event.StoreCallFailed, "step", step, "error", err)
	}
}
