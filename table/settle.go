package table

import (
	"context"
	"time"
)

// retryPause is the time between two attempts to settle a transaction.
const retryPause = 50 * time.Millisecond

// Store is the part of a table that Settle uses.
type Store interface {
	// Transact makes all changes or none.
	Transact(ctx context.Context, transaction Transaction) (Result, error)
	// Row reads one row.
	Row(ctx context.Context, key string) (row Row, found bool, err error)
}

// Settle sends the transaction and, if the answer is lost, finds out whether it took effect: it sends the
// transaction again and reads back the row of its first change, the witness, until the answers show it. If ctx ends
// before that, the error is Unsettled; otherwise an error means that the transaction took no effect.
//
// The witness shows the effect by holding the transaction's nonce. If another transaction has overwritten the witness,
// Settle returns a conflict even though this one may have taken effect before. The caller must therefore choose a
// witness that is never overwritten, or treat a conflict as if it did not matter whether this transaction took effect.
// No change may have AnyVersion as IfVersion, so that sending the transaction again does no harm.
func Settle(ctx context.Context, store Store, transaction Transaction) (Result, error) {
	settlement := NewSettlement(transaction)
	witness := transaction.Changes[0].Key
	for {
		if result, done, err := settlement.HandleAnswer(store.Transact(ctx, transaction)); done {
			return result, err
		}
		row, found, err := store.Row(ctx, witness) // A failed read shows as little as an absent row.
		if result, done, settledErr := settlement.HandleWitness(row, found && err == nil); done {
			return result, settledErr
		}
		if ctx.Err() != nil {
			return Result{}, NewError("settle transaction", witness, Unsettled, ctx.Err())
		}
		pause(ctx)
	}
}

func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
