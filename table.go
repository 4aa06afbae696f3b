package chicoryhall

import (
	"context"

	"chicoryhall.example/chicoryhall/table"
)

// Table is the platform's transactional table; its errors are of type *table.Error.
type Table interface {
	// Transact makes all changes of the transaction or none.
	Transact(ctx context.Context, transaction table.Transaction) (table.Result, error)
	// Row reads one row; found is false if there is no row with that key.
	Row(ctx context.Context, key string) (row table.Row, found bool, err error)
	// Rows reads all rows whose key begins with prefix, in the order of their keys.
	Rows(ctx context.Context, prefix string) ([]table.Row, error)
}
