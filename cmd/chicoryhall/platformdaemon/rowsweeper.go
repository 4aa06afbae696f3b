package platformdaemon

import (
	"context"
	"crypto/rand"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/table"
)

const (
	// sweepPeriod is the time between two searches for stale rows.
	sweepPeriod = 10 * time.Minute
	// sweepTimeout bounds one call to the store for a search.
	sweepTimeout = time.Second
)

// rowSweeper removes rows that daemons which are gone have left.
type rowSweeper struct {
	table chicoryhall.Table
	timer chicoryhall.Timer
	log   *event.Logger
	rows  []sweptRows
}

// sweptRows are all rows with a prefix.
type sweptRows struct {
	prefix string
	stale  *table.StaleRows
}

// add makes the sweeper remove the rows with a prefix that have not changed for lifetime.
func (s *rowSweeper) add(prefix string, lifetime time.Duration) {
	s.rows = append(s.rows, sweptRows{prefix: prefix, stale: table.NewStaleRows(lifetime)})
}

// String returns the name under which the supervisor logs this service.
func (s *rowSweeper) String() string { return "row sweeper" }

// Serve searches for stale rows periodically until ctx ends.
func (s *rowSweeper) Serve(ctx context.Context) error {
	due := make(chan struct{}, 1)
	ticks := s.timer.Every(sweepPeriod, func(time.Time) { signal(due) })
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
			s.sweep(ctx)
		}
	}
}

// signal sends to a channel unless a value waits there already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

func (s *rowSweeper) sweep(ctx context.Context) {
	for _, swept := range s.rows {
		if err := s.sweepRows(ctx, swept); err != nil {
			s.log.Log(event.StoreCallFailed, "step", "remove stale rows", "prefix", swept.prefix, "error", err)
		}
	}
}

func (s *rowSweeper) sweepRows(ctx context.Context, swept sweptRows) error {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.table.Rows(ctx, swept.prefix)
	if err != nil {
		return err
	}
	for _, removal := range swept.stale.Observe(rows, s.timer.Now()) {
		_, err := s.table.Transact(ctx, table.Transaction{Nonce: rand.Text(), Changes: []table.Change{removal}})
		if _, conflict := table.AsConflict(err); err != nil && !conflict { // A row that conflicts has just been written.
			return err
		}
	}
	return nil
}
