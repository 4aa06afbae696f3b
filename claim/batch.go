package claim

import (
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

//go:generate go tool enumer -type=Kind -json -text -transform=lower -output=kind_enumer.go

// Kind tells what an Entry does.
type Kind int

// The kinds of entries.
const (
	// Insert claims a key.
	Insert Kind = iota
	// Outcome stores what became of a claim that is ours.
	Outcome
	// Release gives up a claim that is ours and whose request was never sent.
	Release
)

// Entry is one change of one claim.
type Entry struct {
	Kind        Kind   `json:"kind"`
	Key         string `json:"key"`
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint,omitempty"`
	Answer      string `json:"answer,omitempty"`
	// Version is the row's version that the entry replaces; no row is 0. Rows are
	// overwritten and not deleted while a claim is used, so that versions only grow
	// and a change that was read from a stale row fails.
	Version int64 `json:"version,omitempty"`
}

func (e Entry) change() table.Change {
	v := value{Owner: e.Owner, Fingerprint: e.Fingerprint}
	switch e.Kind {
	case Insert:
	case Outcome:
		v.Done, v.Answer = true, e.Answer
	case Release:
		v.Released = true
	}
	return table.Change{Key: e.Key, Value: table.EncodeValue(v), IfVersion: e.Version}
}

// Verdict is what became of one Entry.
type Verdict struct {
	Entry Entry
	Claim chicoryhall.ClaimResult
	// Version is the row's version that Claim was read from.
	Version int64
	Err     error
}

// Batch is the entries of one transaction; it does no I/O.
type Batch struct {
	entries   []Entry
	conflicts int
}

// NewBatch takes entries from the front of queue, at most limit and one for each key,
// and returns those that have to wait.
func NewBatch(queue []Entry, limit int) (*Batch, []Entry) {
	b := &Batch{}
	var waiting []Entry
	taken := map[string]bool{}
	for _, entry := range queue {
		if taken[entry.Key] || len(b.entries) == limit {
			waiting = append(waiting, entry)
			continue
		}
		taken[entry.Key] = true
		b.entries = append(b.entries, entry)
	}
	return b, waiting
}

// Empty tells that every entry has its verdict.
func (b *Batch) Empty() bool { return len(b.entries) == 0 }

// Conflicts returns how many transactions of the batch met a conflict.
func (b *Batch) Conflicts() int { return b.conflicts }

// Keys returns the rows of the entries that have no verdict.
func (b *Batch) Keys() []string {
	keys := make([]string, len(b.entries))
	for i := range b.entries {
		keys[i] = b.entries[i].Key
	}
	return keys
}

// Read takes a row, stale or not, as a Conflict if it shows that the entry's condition fails.
func (b *Batch) Read(row table.Row) []Verdict {
	for _, entry := range b.entries {
		if entry.Key == row.Key && row.Version > entry.Version {
			return b.Conflict(row)
		}
	}
	return nil
}

// Transaction returns the transaction of the entries that have no verdict; nonce is new and random.
func (b *Batch) Transaction(nonce string) table.Transaction {
	transaction := table.Transaction{Nonce: nonce}
	for _, entry := range b.entries {
		transaction.Changes = append(transaction.Changes, entry.change())
	}
	return transaction
}

// Committed returns the verdicts once the transaction took effect.
func (b *Batch) Committed() []Verdict {
	verdicts := make([]Verdict, 0, len(b.entries))
	for _, entry := range b.entries {
		verdict := Verdict{Entry: entry, Version: entry.Version + 1, Claim: chicoryhall.ClaimResult{State: chicoryhall.ClaimOurs, Fingerprint: entry.Fingerprint}}
		if entry.Kind == Outcome {
			verdict.Claim.State, verdict.Claim.Answer = chicoryhall.ClaimDone, entry.Answer
		}
		verdicts = append(verdicts, verdict)
	}
	b.entries = nil
	return verdicts
}

// Conflict returns the verdict of the entry whose row did not meet its condition; the
// others, and a claim of a key that was released, go into the next transaction.
func (b *Batch) Conflict(row table.Row) []Verdict {
	b.conflicts++
	for i, entry := range b.entries {
		if entry.Key != row.Key {
			continue
		}
		verdict, again := entry.conflict(row)
		if again {
			b.entries[i].Version = row.Version
			return nil
		}
		b.entries = append(b.entries[:i:i], b.entries[i+1:]...)
		return []Verdict{verdict}
	}
	return b.Failed(errors.Errorf("the table names row %q, which is not in the transaction", row.Key))
}

// Failed returns the verdicts when the transaction could not be made, or it is not known.
func (b *Batch) Failed(err error) []Verdict {
	var verdicts []Verdict
	for _, entry := range b.entries {
		verdicts = append(verdicts, Verdict{Entry: entry, Err: err})
	}
	b.entries = nil
	return verdicts
}

// conflict tells what the row means to the entry; again asks to replace the row.
func (e Entry) conflict(row table.Row) (verdict Verdict, again bool) {
	if row.Version == table.Absent {
		return Verdict{Entry: e, Err: errors.Errorf("claim %s is gone from the table", e.Key)}, false
	}
	v, err := table.DecodeValue[value](row)
	if err != nil {
		return Verdict{Entry: e, Err: err}, false
	}
	if e.Kind == Insert && v.Released && v.Owner != e.Owner {
		return Verdict{}, true
	}
	verdict = Verdict{Entry: e, Claim: claimOf(v, e.Owner), Version: row.Version, Err: e.contradiction(v)}
	return verdict, false
}

// contradiction returns an error when the row shows that the entry can never take effect.
func (e Entry) contradiction(v value) error {
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

// release returns the entry that releases a claim whose call failed, from the row as it
// was read; needed is false when the claim is not there.
func release(entry Entry, row table.Row) (released Entry, needed bool) {
	v, err := table.DecodeValue[value](row)
	if err != nil || v.Owner != entry.Owner || v.Done || v.Released {
		return Entry{}, false
	}
	return Entry{Kind: Release, Key: entry.Key, Owner: entry.Owner, Fingerprint: entry.Fingerprint, Version: row.Version}, true
}
