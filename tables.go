package chicoryhall

import (
	"context"

	"chicoryhall.example/chicoryhall/table"
)

// Table is the platform's transactional table; its errors are of type *table.Error.
type Table interface {
	// Transact makes all changes or none.
	Transact(ctx context.Context, transaction table.Transaction) (table.Result, error)
	// Row reads one row; found is false when it does not exist.
	Row(ctx context.Context, key string) (row table.Row, found bool, err error)
	// Rows reads all rows whose key begins with prefix, in key order.
	Rows(ctx context.Context, prefix string) ([]table.Row, error)
}
