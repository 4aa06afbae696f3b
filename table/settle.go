package table

import (
	"context"
	"time"
)

// settlePause lies between two tries to settle a transaction.
const settlePause = 50 * time.Millisecond

// Store is what Settle needs of a table.
type Store interface {
	// Transact makes all changes or none.
	Transact(ctx context.Context, transaction Transaction) (Result, error)
	// Row reads one row.
	Row(ctx context.Context, key string) (row Row, found bool, err error)
}

// Settle makes the transaction and, when its answer is lost, finds out whether it took effect.
//
// The row of the first change is the witness: it must keep the transaction's
// nonce, so the change must only insert, or whoever overwrites the row must make
// the transaction void. No change may have the condition AnyVersion, so that the
// transaction can be sent again. The error is Unsettled only if ctx ended first.
func Settle(ctx context.Context, store Store, transaction Transaction) (Result, error) {
	result, err := store.Transact(ctx, transaction)
	for lost := false; ; {
		row, conflict := IsConflict(err)
		switch {
		case err == nil:
			return result, nil
		case conflict && row.Nonce == transaction.Nonce:
			return committed(transaction), nil
		case conflict:
			return Result{}, err
		case !lost && !IsUnsettled(err):
			return Result{}, err
		}
		lost = true
		if result, settled, err := readBack(ctx, store, transaction); settled {
			return result, err
		}
		if ctx.Err() != nil {
			return Result{}, NewError("settle transaction", transaction.Changes[0].Key, Unsettled, ctx.Err())
		}
		pause(ctx)
		result, err = store.Transact(ctx, transaction)
	}
}

// readBack tells from the witness whether the transaction took effect or never can; a
// witness that is absent or old shows nothing, as the read may be stale.
func readBack(ctx context.Context, store Store, transaction Transaction) (Result, bool, error) {
	witness := transaction.Changes[0]
	row, found, err := store.Row(ctx, witness.Key)
	switch {
	case err != nil || !found:
		return Result{}, false, nil
	case row.Nonce == transaction.Nonce:
		return committed(transaction), true, nil
	case row.Version > witness.IfVersion:
		return Result{}, true, NewConflict("settle transaction", witness.Key, row)
	}
	return Result{}, false, nil
}

// committed returns the result that the lost answer held: each version grows by one.
func committed(transaction Transaction) Result {
	result := Result{Committed: true}
	for _, change := range transaction.Changes {
		result.Versions = append(result.Versions, change.IfVersion+1)
	}
	return result
}

func pause(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
