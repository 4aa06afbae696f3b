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

// address stands in for the table's address in errors.
const address = "memory"

// ErrDown is the cause of the errors while the Store is down.
var ErrDown = errors.New("the table is down")

// Store is an in-memory table; the zero value is an empty table.
type Store struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// stale holds the rows that reads return between FreezeReads and UnfreezeReads, and is nil otherwise.
	stale map[string]table.Row
	down  bool
	// answersToLose is how many of the next transactions that take effect lose their answers.
	answersToLose int
	// transactions counts the calls of Transact.
	transactions int
}

// SetDown sets whether every call fails without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseAnswers makes the next n transactions that take effect lose their answers.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// FreezeReads makes reads return the rows as they are now until UnfreezeReads is called.
func (s *Store) FreezeReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = maps.Clone(s.rows)
	if s.stale == nil {
		s.stale = map[string]table.Row{}
	}
}

// UnfreezeReads makes reads return the current rows again.
func (s *Store) UnfreezeReads() {
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

// Restore replaces all rows, like a restore from a backup.
func (s *Store) Restore(rows map[string]table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
}

// Transactions returns the number of transactions sent so far, failed ones included.
func (s *Store) Transactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions
}

// Transact makes all changes or none.
func (s *Store) Transact(_ context.Context, transaction table.Transaction) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const operation = "write transaction"
	s.transactions++
	if s.down {
		return table.Result{}, table.NewError(operation, address, table.Unavailable, ErrDown)
	}
	if row, failed := s.failedCondition(transaction); failed {
		return table.Result{Conflict: &row}, table.NewConflict(operation, address, row)
	}
	result := s.apply(transaction)
	if s.answersToLose > 0 {
		s.answersToLose--
		return table.Result{}, table.NewError(operation, address, table.Unsettled, errors.New("the answer was lost"))
	}
	return result, nil
}

func (s *Store) failedCondition(transaction table.Transaction) (table.Row, bool) {
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
		return table.Row{}, false, table.NewError("read row", address, table.Unavailable, ErrDown)
	}
	row, found := s.readableRows()[key]
	return row, found, nil
}

// Rows reads all rows whose key has the given prefix, in key order.
func (s *Store) Rows(_ context.Context, prefix string) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, table.NewError("read rows", address, table.Unavailable, ErrDown)
	}
	rows := s.readableRows()
	var found []table.Row
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, rows[key])
		}
	}
	return found, nil
}

func (s *Store) readableRows() map[string]table.Row {
	if s.stale != nil {
		return s.stale
	}
	return s.rows
}
