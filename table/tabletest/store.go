package tabletest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"chicoryhall.example/chicoryhall/table"
)

const peer = "memory"

// ErrDown is the cause of failed calls while the Store is down.
var ErrDown = errors.New("the table is down")

// Store is a table in memory; its zero value is empty and works.
type Store struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// stale are the rows that reads answer from while they are stale.
	stale map[string]table.Row
	down  bool
	// lost counts the transactions to come whose answers are lost.
	lost int
	// transactions counts those that were tried.
	transactions int
}

// SetDown makes every call fail without effect, or work again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the next n transactions take effect and answer nothing.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = n
}

// Freeze makes reads answer from the rows as they are now until Thaw.
func (s *Store) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = maps.Clone(s.rows)
	if s.stale == nil {
		s.stale = map[string]table.Row{}
	}
}

// Thaw ends Freeze.
func (s *Store) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
}

// Snapshot returns all rows.
func (s *Store) Snapshot() map[string]table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// Restore replaces all rows, as a restore from a backup does.
func (s *Store) Restore(rows map[string]table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
}

// Transactions returns how many transactions were tried.
func (s *Store) Transactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions
}

// Transact makes all changes or none.
func (s *Store) Transact(_ context.Context, transaction table.Transaction) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const step = "write transaction"
	s.transactions++
	if s.down {
		return table.Result{}, table.NewError(step, peer, table.Unavailable, ErrDown)
	}
	if row, failed := s.failed(transaction); failed {
		return table.Result{Conflict: &row}, table.NewConflict(step, peer, row)
	}
	result := s.apply(transaction)
	if s.lost > 0 {
		s.lost--
		return table.Result{}, table.NewError(step, peer, table.Unsettled, errors.New("the answer was lost"))
	}
	return result, nil
}

func (s *Store) failed(transaction table.Transaction) (table.Row, bool) {
	for _, change := range transaction.Changes {
		row, found := s.rows[change.Key]
		if !found {
			row.Key = change.Key
		}
		if change.IfVersion != table.AnyVersion && change.IfVersion != row.Version {
			return row, true
		}
	}
	return table.Row{}, false
}

func (s *Store) apply(transaction table.Transaction) table.Result {
	if s.rows == nil {
		s.rows = map[string]table.Row{}
	}
	result := table.Result{Committed: true}
	for _, change := range transaction.Changes {
		version := s.rows[change.Key].Version + 1
		result.Versions = append(result.Versions, version)
		if change.Delete {
			delete(s.rows, change.Key)
			continue
		}
		s.rows[change.Key] = table.Row{Key: change.Key, Value: change.Value, Version: version, Nonce: transaction.Nonce}
	}
	return result
}

// Row reads one row.
func (s *Store) Row(_ context.Context, key string) (table.Row, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return table.Row{}, false, table.NewError("read row", peer, table.Unavailable, ErrDown)
	}
	row, found := s.visible()[key]
	return row, found, nil
}

// Rows reads all rows whose key begins with prefix, in key order.
func (s *Store) Rows(_ context.Context, prefix string) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, table.NewError("read rows", peer, table.Unavailable, ErrDown)
	}
	rows := s.visible()
	var found []table.Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, rows[key])
		}
	}
	return found, nil
}

func (s *Store) visible() map[string]table.Row {
	if s.stale != nil {
		return s.stale
	}
	return s.rows
}
