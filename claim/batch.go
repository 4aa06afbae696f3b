package claim

import (
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

//go:generate go tool enumer -type=Kind -json -text -transform=lower -output=kind_enumer.go

// Kind is the kind of change that an Entry makes.
type Kind int

// The kinds of entries.
const (
	// Insert claims a key.
	Insert Kind = iota
	// Outcome stores the outcome of a claim that the entry's owner holds.
	Outcome
	// Release gives up a claim that the entry's owner holds and whose request did not run.
	Release
)

// Entry is one change of one claim's row.
type Entry struct {
	Kind        Kind   `json:"kind"`
	Key         string `json:"key"`
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint,omitempty"`
	Answer      string `json:"answer,omitempty"`
	// Version is the version of the row that the entry replaces, or table.Absent (0).
	// The daemons overwrite the rows of claims and never delete them, so that versions
	// only grow and a change that is based on a stale read fails.
	Version int64 `json:"version,omitempty"`
}

func (e Entry) change() table.Change {
	v := rowValue{Owner: e.Owner, Fingerprint: e.Fingerprint}
	switch e.Kind {
	case Insert:
	case Outcome:
		v.Done, v.Answer = true, e.Answer
	case Release:
		v.Released = true
	}
	return table.Change{Key: e.Key, Value: table.EncodeValue(v), IfVersion: e.Version}
}

// Result is the result of committing one Entry.
type Result struct {
	Entry Entry
	Claim chicoryhall.ClaimResult
	// Version is the version of the row that Claim describes.
	Version int64
	Err     error
}

// Batch holds the entries of one transaction that have no result yet; it does no I/O.
type Batch struct {
	entries       []Entry
	conflictCount int
}

// NewBatch returns a Batch of entries from the front of queue, at most limit and one for
// each key, and the remaining entries in the order of the queue.
func NewBatch(queue []Entry, limit int) (*Batch, []Entry) {
	b := &Batch{}
	var remaining []Entry
	taken := map[string]bool{}
	for _, entry := range queue {
		if taken[entry.Key] || len(b.entries) == limit {
			remaining = append(remaining, entry)
			continue
		}
		taken[entry.Key] = true
		b.entries = append(b.entries, entry)
	}
	return b, remaining
}

// Empty reports whether every entry has a result.
func (b *Batch) Empty() bool { return len(b.entries) == 0 }

// ConflictCount returns the number of calls of HandleConflict, including those by HandleRow.
func (b *Batch) ConflictCount() int { return b.conflictCount }

// Keys returns the row keys of the entries that have no result.
func (b *Batch) Keys() []string {
	keys := make([]string, len(b.entries))
	for i := range b.entries {
		keys[i] = b.entries[i].Key
	}
	return keys
}

// HandleRow handles a row that was read, stale or not. If it is newer than the version that
// its entry replaces, the transaction would fail, and the row is handled like a conflict.
func (b *Batch) HandleRow(row table.Row) []Result {
	for _, entry := range b.entries {
		if entry.Key == row.Key && row.Version > entry.Version {
			return b.HandleConflict(row)
		}
	}
	return nil
}

// Transaction returns the transaction of the entries that have no result; nonce must be random
// and never used before.
func (b *Batch) Transaction(nonce string) table.Transaction {
	transaction := table.Transaction{Nonce: nonce}
	for _, entry := range b.entries {
		transaction.Changes = append(transaction.Changes, entry.change())
	}
	return transaction
}

// HandleCommit handles the success of the transaction and returns the results of its entries.
func (b *Batch) HandleCommit() []Result {
	results := make([]Result, 0, len(b.entries))
	for _, entry := range b.entries {
		// The table raises the version of a row by one with each change.
		result := Result{Entry: entry, Version: entry.Version + 1, Claim: chicoryhall.ClaimResult{State: chicoryhall.ClaimOurs, Fingerprint: entry.Fingerprint}}
		if entry.Kind == Outcome {
			result.Claim.State, result.Claim.Answer = chicoryhall.ClaimDone, entry.Answer
		}
		results = append(results, result)
	}
	b.entries = nil
	return results
}

// HandleConflict handles a transaction that failed because the given row does not have the
// version that its entry replaces, and returns the result of that entry. The other entries go
// into the next transaction, as does an insert whose row holds a released claim. If no entry has
// the row's key, all entries fail, and their results are returned.
func (b *Batch) HandleConflict(row table.Row) []Result {
	b.conflictCount++
	for i, entry := range b.entries {
		if entry.Key != row.Key {
			continue
		}
		result, again := entry.resolveConflict(row)
		if again {
			b.entries[i].Version = row.Version
			return nil
		}
		b.entries = append(b.entries[:i:i], b.entries[i+1:]...)
		return []Result{result}
	}
	return b.HandleFailure(errors.Errorf("the table names row %q, which is not in the transaction", row.Key))
}

// HandleFailure handles a transaction that failed, or whose effect is not known, and returns the
// results of its entries.
func (b *Batch) HandleFailure(err error) []Result {
	var results []Result
	for _, entry := range b.entries {
		results = append(results, Result{Entry: entry, Err: err})
	}
	b.entries = nil
	return results
}

// resolveConflict returns the result of an entry, given the row that does not have the version
// that the entry replaces. If retry is true there is no result: the entry may replace the row
// in its present version.
func (e Entry) resolveConflict(row table.Row) (result Result, retry bool) {
	if row.Version == table.Absent { // The row was deleted, which no daemon does.
		return Result{Entry: e, Err: errors.Errorf("claim %s is gone from the table", e.Key)}, false
	}
	v, err := table.DecodeValue[rowValue](row)
	if err != nil {
		return Result{Entry: e, Err: err}, false
	}
	if e.Kind == Insert && v.Released && v.Owner != e.Owner {
		return Result{}, true
	}
	result = Result{Entry: e, Claim: claimResult(v, e.Owner), Version: row.Version, Err: e.contradiction(v)}
	return result, false
}

// contradiction returns an error if the row shows that the entry has not taken effect and never
// will: the row has another owner, another outcome, or for a release no mark of being released.
// An insert that found the claim of another call is no error.
func (e Entry) contradiction(v rowValue) error {
	switch {
	case e.Kind == Insert && v.Released:
		return errors.Errorf("claim %s was released", e.Key)
	case e.Kind == Outcome && (v.Owner != e.Owner || !v.Done || v.Answer != e.Answer):
		return errors.Errorf("claim %s has another owner or outcome", e.Key)
	case e.Kind == Release && (v.Owner != e.Owner || !v.Released):
		return errors.Errorf("claim %s has another owner or an outcome", e.Key)
	}
	return nil
}

// releaseEntry returns the entry that releases the claim of a failed insert, given the row as it
// was read; needed is false if the row does not hold that claim.
func releaseEntry(entry Entry, row table.Row) (released Entry, needed bool) {
	v, err := table.DecodeValue[rowValue](row)
	if err != nil || v.Owner != entry.Owner || v.Done || v.Released {
		return Entry{}, false
	}
	return Entry{Kind: Release, Key: entry.Key, Owner: entry.Owner, Fingerprint: entry.Fingerprint, Version: row.Version}, true
}
