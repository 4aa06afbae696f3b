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
	settlement := NewSettlement(transaction)
	witness := transaction.Changes[0].Key
	for {
		if result, done, err := settlement.Wrote(store.Transact(ctx, transaction)); done {
			return result, err
		}
		row, found, err := store.Row(ctx, witness)
		if result, done, failure := settlement.Read(row, found && err == nil); done {
			return result, failure
		}
		if ctx.Err() != nil {
			return Result{}, NewError("settle transaction", witness, Unsettled, ctx.Err())
		}
		pause(ctx)
	}
}

func pause(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
