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
// witness is the index of a change whose row keeps the transaction's nonce: one
// that only inserts, or whose later overwriting makes the transaction void. No
// change may have the condition AnyVersion, so that sending it again is safe.
// The error is Unsettled only if ctx ended first.
func Settle(ctx context.Context, store Store, transaction Transaction, witness int) (Result, error) {
	for {
		result, err := store.Transact(ctx, transaction)
		_, conflict := IsConflict(err)
		if !conflict && !IsUnsettled(err) {
			return result, err
		}
		return settleAgain(ctx, store, transaction, witness)
	}
}

// settleAgain reads the witness back and sends the transaction again while it may still succeed.
func settleAgain(ctx context.Context, store Store, transaction Transaction, witness int) (Result, error) {
	for {
		result, settled, err := readBack(ctx, store, transaction, witness)
		if settled {
			return result, err
		}
		if ctx.Err() != nil {
			return Result{}, NewError("settle transaction", transaction.Nonce, Unsettled, ctx.Err())
		}
		pause(ctx)
		result, err = store.Transact(ctx, transaction)
		if err == nil {
			return result, nil
		}
	}
}

// readBack tells from the witness whether the transaction took effect or never can.
func readBack(ctx context.Context, store Store, transaction Transaction, witness int) (Result, bool, error) {
	row, found, err := store.Row(ctx, transaction.Changes[witness].Key)
	if err != nil {
		return Result{}, false, err
	}
	if found && row.Nonce == transaction.Nonce {
		return committed(transaction), true, nil
	}
	expected := transaction.Changes[witness].IfVersion
	if found && row.Version > expected {
		return Result{}, true, NewConflict("settle transaction", transaction.Nonce, row)
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
